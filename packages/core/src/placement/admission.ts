/** Until when a request must be expected to end, so that it is worth a slot. */
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';

/**
 * Part of the time that a request has for each more urgent priority at its service: where room is short, less urgent
 * requests are refused first. It must leave time for the last slot of an upstream, which makes work last longer: with much
 * less, a request whose work is 0.4 of its target latency finds no room wherever one of two slots is taken.
 */
const roomRatio = 0.9;
/**
 * Work varies by a third and a report is some milliseconds old: what is expected to take this much less than it will
 * may still end in time, and is worth a slot while there is room.
 */
const shortestRatio = 0.85;
/**
 * In an overload the queues of upstreams grow until each request that is sent is expected to end at the latest moment that is
 * allowed. With the tolerance above they would all end just too late.
 */
const overloadRatio = 1;
/**
 * How long a refusal for lack of room tells of an overload of its service. In one, each instance of a large fleet refuses some
 * requests a second, so that this bridges the time between two refusals.
 */
const overloadMs = 300;
/** How long a priority counts after its last request; a burst lasts some seconds. */
const priorityLifetimeMs = 10_000;

export type AdmissionRequest = {
	readonly service: ServiceId;
	readonly route: {
		/** 0 is the most urgent. */
		readonly priority: number;
		/** Time within which an answer is worth its full value. */
		readonly targetLatencyMs: number;
	};
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
};

/** Knows which priorities are in use at each service. */
export class Admission {
	readonly #clock: Clock;
	/** Time of the last request by service and priority. */
	readonly #seenAtMs = new Map<ServiceId, Map<number, number>>();
	/** Time of the last refusal for lack of room by service and priority. */
	readonly #refusedAtMs = new Map<ServiceId, Map<number, number>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	recordArrival({service, route: {priority}}: Pick<AdmissionRequest, 'service' | 'route'>): void {
		this.#note(this.#seenAtMs, service, priority);
	}

	/** There was no room for it. */
	recordRefusal({service, route: {priority}}: Pick<AdmissionRequest, 'service' | 'route'>): void {
		this.#note(this.#refusedAtMs, service, priority);
	}

	/**
	 * Whether a request may be sent that is expected to take this long from now on.
	 *
	 * An upstream lightly loaded is always tried: an estimate that is too high would never be put right otherwise. Where more urgent
	 * requests are refused for lack of room, less urgent ones take nothing else: both kinds would else be refused alike.
	 */
	admits(request: AdmissionRequest, {expectedMs, isLightlyLoaded}: {readonly expectedMs: number; readonly isLightlyLoaded: boolean}): boolean {
		return isLightlyLoaded || (!this.#mustYield(request) && this.mayEndInTime(request, expectedMs));
	}

	/**
	 * Within the target latency, as what ends later is worth little and keeps a slot from what is worth all; sooner where
	 * more urgent requests want the same upstreams.
	 */
	latestEndMs({service, route: {priority, targetLatencyMs}, receivedAtMs, deadlineAtMs}: AdmissionRequest): number {
		const room = roomRatio ** this.#moreUrgent(service, priority);
		return Math.min(deadlineAtMs, receivedAtMs + (targetLatencyMs * room));
	}

	/** Whether a request that is expected to take this long from now on is worth a slot. */
	mayEndInTime(request: AdmissionRequest, expectedMs: number): boolean {
		const ratio = this.#refusedLately(request.service).length > 0 ? overloadRatio : shortestRatio;
		return this.#clock.monotonicMs() + (expectedMs * ratio) <= this.latestEndMs(request);
	}

	#moreUrgent(service: ServiceId, priority: number): number {
		const oldestMs = this.#clock.monotonicMs() - priorityLifetimeMs;
		return [...this.#seenAtMs.get(service) ?? []].filter(([other, atMs]) => other < priority && atMs >= oldestMs).length;
	}

	#mustYield({service, route: {priority}}: AdmissionRequest): boolean {
		return this.#refusedLately(service).some(other => other < priority);
	}

	/** Priorities of the requests of a service for which there was no room lately. */
	#refusedLately(service: ServiceId): readonly number[] {
		const oldestMs = this.#clock.monotonicMs() - overloadMs;
		return [...this.#refusedAtMs.get(service) ?? []].filter(([, atMs]) => atMs >= oldestMs).map(([priority]) => priority);
	}

	#note(times: Map<ServiceId, Map<number, number>>, service: ServiceId, priority: number): void {
		const ofService = times.get(service) ?? new Map<number, number>();
		ofService.set(priority, this.#clock.monotonicMs());
		times.set(service, ofService);
	}
}
