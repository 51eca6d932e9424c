/** Admission control: decides whether a request is still likely to be answered in time, so that it is worth an upstream slot. */
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';

/**
 * Shortens the time that a request may take by this factor for each more urgent priority in use at its service, so that less urgent
 * requests are refused first when capacity is short. The factor must leave time for a request that takes the last slot of an
 * upstream, which runs longer: with a much lower value, a request whose work is 0.4 of its target latency would be refused
 * wherever one of two slots is taken.
 */
const priorityTimeRatio = 0.9;
/**
 * Scales the expected duration while the service is not overloaded. Work varies by a third and load reports are some milliseconds
 * old, so a request that is expected to end slightly too late may still end in time and is worth a slot while there is capacity.
 */
const toleranceRatio = 0.85;
/**
 * Replaces `toleranceRatio` during an overload. The queues of upstreams then grow until each request that is sent is expected to end
 * at the latest time allowed; with the tolerance, all of them would end slightly too late.
 */
const overloadRatio = 1;
/**
 * Time for which a service counts as overloaded after a refusal for lack of capacity. During an overload each instance of a large
 * fleet refuses some requests per second, so this spans the time between two refusals.
 */
const overloadLifetimeMs = 300;
/** Time for which a priority counts as in use after its last request; a burst lasts some seconds. */
const priorityLifetimeMs = 10_000;

export type AdmissionRequest = {
	readonly service: ServiceId;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly route: {
		/** Time within which an answer has its full value for the caller. */
		readonly targetLatencyMs: number;
	};
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
};

/** Tracks, for each service, which priorities are in use and which were recently refused for lack of capacity. */
export class Admission {
	readonly #clock: Clock;
	/** Time of the last request by service and priority. */
	readonly #seenAtMs = new Map<ServiceId, Map<number, number>>();
	/** Time of the last refusal for lack of capacity by service and priority. */
	readonly #refusedAtMs = new Map<ServiceId, Map<number, number>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordArrival({service, priority}: Pick<AdmissionRequest, 'service' | 'priority'>): void {
		this.#recordTime(this.#seenAtMs, service, priority);
	}

	/** Records that a request was refused for lack of capacity. */
	recordRefusal({service, priority}: Pick<AdmissionRequest, 'service' | 'priority'>): void {
		this.#recordTime(this.#refusedAtMs, service, priority);
	}

	/**
	 * Returns whether a request may be sent to an upstream where it is expected to take `expectedMs` from now on.
	 *
	 * A lightly loaded upstream is always tried, because otherwise an estimate that is too high would never be corrected. While more
	 * urgent requests are refused for lack of capacity, less urgent ones get only lightly loaded upstreams; otherwise both kinds
	 * would be refused equally often.
	 */
	admits(request: AdmissionRequest, {expectedMs, isLightlyLoaded}: {readonly expectedMs: number; readonly isLightlyLoaded: boolean}): boolean {
		return isLightlyLoaded || (!this.isOutranked(request) && this.mayEndInTime(request, expectedMs));
	}

	/**
	 * Returns the latest time at which a request may end and still be worth a slot. This is the end of its target latency, as a later
	 * answer has little value and occupies a slot that another request could use in time; it is earlier while more urgent requests
	 * use the same service.
	 */
	latestEndMs({service, priority, route: {targetLatencyMs}, receivedAtMs, deadlineAtMs}: AdmissionRequest): number {
		const timeRatio = priorityTimeRatio ** this.#countMoreUrgent(service, priority);
		return Math.min(deadlineAtMs, receivedAtMs + (targetLatencyMs * timeRatio));
	}

	/** Returns whether a request that is expected to take `expectedMs` from now on is likely enough to end in time. */
	mayEndInTime(request: AdmissionRequest, expectedMs: number): boolean {
		const ratio = this.#recentlyRefused(request.service).length > 0 ? overloadRatio : toleranceRatio;
		return this.#clock.monotonicMs() + (expectedMs * ratio) <= this.latestEndMs(request);
	}

	/** Returns whether more urgent requests have used the service lately. */
	hasMoreUrgent({service, priority}: Pick<AdmissionRequest, 'service' | 'priority'>): boolean {
		return this.#countMoreUrgent(service, priority) > 0;
	}

	/** Returns whether more urgent requests were recently refused for lack of capacity. */
	isOutranked({service, priority}: Pick<AdmissionRequest, 'service' | 'priority'>): boolean {
		return this.#recentlyRefused(service).some(other => other < priority);
	}

	#countMoreUrgent(service: ServiceId, priority: number): number {
		const oldestMs = this.#clock.monotonicMs() - priorityLifetimeMs;
		return [...this.#seenAtMs.get(service) ?? []].filter(([other, atMs]) => other < priority && atMs >= oldestMs).length;
	}

	/** Returns the priorities of a service that were recently refused for lack of capacity. */
	#recentlyRefused(service: ServiceId): readonly number[] {
		const oldestMs = this.#clock.monotonicMs() - overloadLifetimeMs;
		return [...this.#refusedAtMs.get(service) ?? []].filter(([, atMs]) => atMs >= oldestMs).map(([priority]) => priority);
	}

	#recordTime(times: Map<ServiceId, Map<number, number>>, service: ServiceId, priority: number): void {
		const ofService = times.get(service) ?? new Map<number, number>();
		ofService.set(priority, this.#clock.monotonicMs());
		times.set(service, ofService);
	}
}
