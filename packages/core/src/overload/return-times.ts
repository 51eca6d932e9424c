/**
 * Chooses the retry delay of a refused request. Answers a load that stays above what the upstreams can run for seconds: callers
 * that all return after the same short delay use up their retries while the load lasts, and take slots from those that are still in time.
 */
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {OverloadMeter} from './overload-meter.js';

/** Retry delay while the service is not overloaded: by then some upstream usually has a free slot. */
export const shortDelayMs = 60;
/** Callers wait for at most this part of the time that they have left. */
const honouredShare = 1 / 3;
/** Part of what an instance sends to upstreams that it plans for callers that can't be in time any more; the rest is for those that can. */
const plannedShare = 1 / 4;
/** A planned return comes after this part of what its caller would wait at least: it loses little by that, and keeps its last retry. */
const leastPlannedPart = 1 / 4;
const millisecondsPerSecond = 1000;

export type RefusedRequest = {
	readonly service: ServiceId;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	/** End of the target latency, counted from the caller's first attempt. */
	readonly targetAtMs: number;
	readonly deadlineAtMs: number;
	/** Whether the caller was refused before. */
	readonly hasReturned: boolean;
	/** Whether the caller would wait until after the moment that it missed; any other returns into the same rush, so the sooner the better. */
	readonly canReturnLater: boolean;
};

export type ReturnTimesOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly meter: OverloadMeter;
};

export class ReturnTimes {
	readonly #options: ReturnTimesOptions;
	/** Time of the last planned return by service. */
	readonly #plannedUntilMs = new Map<ServiceId, number>();

	constructor(options: ReturnTimesOptions) {
		this.#options = options;
	}

	/**
	 * Returns the retry delay in milliseconds, never beyond the deadline.
	 *
	 * During an overload, a request that can still be in time returns at a random moment of the time that is left for that. Any other
	 * gets the next place in a plan that spreads returns over the time until its caller would return anyway.
	 */
	delayMs(request: RefusedRequest): number {
		return Math.floor(this.#exactDelayMs(request));
	}

	#exactDelayMs(request: RefusedRequest): number {
		const {clock, meter} = this.#options;
		const nowMs = clock.monotonicMs();
		const honouredMs = Math.max(0, request.deadlineAtMs - nowMs) * honouredShare;
		if (!request.canReturnLater) {
			return Math.min(shortDelayMs, honouredMs);
		}

		if (request.hasReturned) {
			return this.#plan(request.service, nowMs, honouredMs);
		}

		if (!meter.isOverloaded(request.service)) {
			return Math.min(shortDelayMs, honouredMs);
		}

		const inTimeMs = Math.min(honouredMs, request.targetAtMs - request.workMs - nowMs);
		return inTimeMs > shortDelayMs
			? this.#between(shortDelayMs / 2, Math.min(shortDelayMs * 3 / 2, inTimeMs))
			: this.#plan(request.service, nowMs, honouredMs);
	}

	#plan(service: ServiceId, nowMs: number, honouredMs: number): number {
		const perSecond = this.#options.meter.admittedPerSecond(service) * plannedShare;
		const intervalMs = perSecond > 0 ? millisecondsPerSecond / perSecond : Number.POSITIVE_INFINITY;
		const plannedMs = Math.max(nowMs, this.#plannedUntilMs.get(service) ?? 0) + intervalMs;
		const delayMs = plannedMs - nowMs;
		if (delayMs > honouredMs) {
			return this.#between(honouredMs / 2, honouredMs);
		}

		this.#plannedUntilMs.set(service, plannedMs);
		return Math.max(delayMs, honouredMs * leastPlannedPart);
	}

	#between(fromMs: number, toMs: number): number {
		return fromMs + (this.#options.random.next() * (toMs - fromMs));
	}
}
