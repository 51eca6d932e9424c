/**
 * Notices services whose upstreams reset connections when they are full, and keeps requests that may run only once from upstreams
 * where no room is known. Answers a rush at such services: after a reset the request may have run, so that its caller can't repeat it.
 */
import type {Clock} from '../model/clock.js';
import type {ServiceId} from '../model/ids.js';
import type {LoadReport} from '../placement/load-report.js';
import {DecayingSum} from './decaying-sum.js';

/** Time constant in which resets are forgotten. A rush that comes again within a minute is met as one that is known. */
const memoryMs = 60_000;
/** Resets at full upstreams from which on they count as the way in which upstreams of the service refuse; one may be a crash. */
const minimumResets = 1.5;
/** Age up to which a report tells of room. */
const roomLifetimeMs = 50;
/** Places in a queue that are left to requests that other instances send meanwhile. */
const reserve = 1;

export type RoomInputs = {
	readonly report: LoadReport | undefined;
	readonly reportAgeMs: number;
	/** Requests of this instance in flight that the report doesn't count. */
	readonly unreportedInFlight: number;
	readonly slots: number;
};

export class FullResets {
	readonly #clock: Clock;
	readonly #greatestLoad = new Map<ServiceId, number>();
	readonly #resets = new Map<ServiceId, DecayingSum>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records that a connection broke under a request that was sent to an upstream without known room. */
	recordReset(service: ServiceId): void {
		const resets = this.#resets.get(service) ?? new DecayingSum(this.#clock, memoryMs);
		resets.add(1);
		this.#resets.set(service, resets);
	}

	/** Records the load that an upstream reported; one that reports requests in its queue has room for as many. */
	recordLoad(service: ServiceId, {running, waiting}: LoadReport): void {
		this.#greatestLoad.set(service, Math.max(this.#greatestLoad.get(service) ?? 0, running + waiting));
	}

	/** Returns whether an upstream is known to have room for one more request. */
	hasKnownRoom(service: ServiceId, {report, reportAgeMs, unreportedInFlight, slots}: RoomInputs): boolean {
		const room = Math.max(slots, (this.#greatestLoad.get(service) ?? 0) - reserve);
		return report !== undefined && reportAgeMs <= roomLifetimeMs && report.running + report.waiting + unreportedInFlight < room;
	}

	/** Returns whether a request that may run only once needs an upstream with known room. */
	needsKnownRoom(service: ServiceId): boolean {
		return (this.#resets.get(service)?.value ?? 0) >= minimumResets;
	}
}
