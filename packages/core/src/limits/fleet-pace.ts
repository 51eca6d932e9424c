/**
 * Keeps the requests that all instances together send to one upstream within the rate that it can handle. This applies to
 * a cold upstream, which crashes well above that rate, and to one that advertises a rate limit. Instances don't
 * coordinate each request. Instead, each computes which few instances may use the upstream (its users), with the same
 * result on all instances that know the same members, and each user keeps an interval between its own requests. Giving
 * every instance an equal share would not work: in a large fleet, one request from each already exceeds what a small rate
 * allows in several seconds.
 */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, UpstreamId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';

/** Time for which a selection of users is cached. Membership changes far less often. */
const selectionLifetimeMs = 250;
/** Time after its start during which an instance uses no paced upstream: it knows few others yet and would select itself as a user of every upstream. */
const settlingMs = 1500;
const millisecondsPerSecond = 1000;
/** Users send at least at this rate even if the upstream accepts nothing; otherwise no instance would detect that it accepts requests again. */
const minimumRequestsPerSecond = 0.1;
/** Bounds the cached selections; large enough for a whole availability zone that comes back cold at once. */
const maximumSelections = 2048;

export type PacedUpstream = {
	readonly id: UpstreamId;
	readonly availabilityZone: AvailabilityZoneId;
	/** Requests a second that the upstream can handle from all instances together. */
	readonly requestsPerSecond: number;
	/** Whether the rate is an average over several seconds. Otherwise it holds within every second, as for an upstream that crashes above it. */
	readonly isMeanRate: boolean;
};

/** An instance that can be selected as a user of paced upstreams. */
export type PacingInstance = {readonly host: string; readonly availabilityZone: AvailabilityZoneId};

export type FleetPaceOptions = {
	readonly clock: Clock;
	readonly self: PacingInstance;
	readonly others: () => readonly PacingInstance[];
	/** Whether other instances are known by name but none has ever been heard from. They use the upstreams too, and this instance can't know how many of them do. */
	readonly isCutOff: () => boolean;
};

type Selection = {
	readonly isUser: boolean;
	/** Number of instances that use the upstream, as seen from this one. */
	readonly users: number;
	readonly selectedAtMs: number;
	/** Time at which this instance last used the upstream; at least `pauseMs` passes until its next request. */
	readonly usedAtMs: number;
};

export class FleetPace {
	readonly #options: FleetPaceOptions;
	readonly #settledAtMs: number;
	/** Keyed by upstream and kind of rate; the entry written last comes last. */
	readonly #selections = new Map<string, Selection>();

	constructor(options: FleetPaceOptions) {
		this.#options = options;
		this.#settledAtMs = options.clock.monotonicMs() + settlingMs;
	}

	/** Returns whether this instance may send the upstream a request now. */
	mayUse(upstream: PacedUpstream): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs < this.#settledAtMs || this.#options.isCutOff()) {
			return false;
		}

		const {isUser, users, usedAtMs} = this.#selection(upstream);
		return isUser && nowMs - usedAtMs >= pauseMs(upstream, users);
	}

	/** Records that a request is being sent to the upstream. */
	recordUse(upstream: PacedUpstream): void {
		const selection = this.#selection(upstream);
		this.#save(keyFor(upstream), {...selection, usedAtMs: this.#options.clock.monotonicMs()});
	}

	#selection(upstream: PacedUpstream): Selection {
		const nowMs = this.#options.clock.monotonicMs();
		const known = this.#selections.get(keyFor(upstream));
		if (known !== undefined && nowMs - known.selectedAtMs < selectionLifetimeMs) {
			return known;
		}

		const selection = {...this.#select(upstream), selectedAtMs: nowMs, usedAtMs: known?.usedAtMs ?? Number.NEGATIVE_INFINITY};
		this.#save(keyFor(upstream), selection);
		return selection;
	}

	/**
	 * Selects the first instances in an order that differs for each upstream (rendezvous hashing). Candidates are the
	 * instances in the upstream's availability zone, or all instances if there are none.
	 */
	#select({id, availabilityZone, requestsPerSecond}: PacedUpstream): Pick<Selection, 'isUser' | 'users'> {
		const {self, others} = this.#options;
		const all = others();
		const inZone = all.filter(other => other.availabilityZone === availabilityZone);
		const isInZone = self.availabilityZone === availabilityZone;
		if (!isInZone && inZone.length > 0) {
			return {isUser: false, users: inZone.length};
		}

		const candidates = isInZone ? inZone : all;
		const users = Math.min(userCountFor(requestsPerSecond), candidates.length + 1);
		const ownRank = hashText(`${id} ${self.host}`);
		const instancesAhead = candidates.filter(({host}) => hashText(`${id} ${host}`) < ownRank).length;
		return {isUser: instancesAhead < users, users};
	}

	#save(key: string, selection: Selection): void {
		this.#selections.delete(key);
		this.#selections.set(key, selection);
		if (this.#selections.size > maximumSelections) {
			const [oldest] = this.#selections.keys();
			this.#selections.delete(oldest!);
		}
	}
}

function keyFor({id, isMeanRate}: PacedUpstream): string {
	return `${id} ${isMeanRate}`;
}

/** Returns how many instances should use one upstream, so that each sends about one request a second if there are enough of them. */
function userCountFor(requestsPerSecond: number): number {
	return Math.max(1, Math.floor(requestsPerSecond));
}

/** Returns the interval between two requests of one user. */
function pauseMs({requestsPerSecond, isMeanRate}: PacedUpstream, users: number): number {
	const allowedPerSecond = Math.max(minimumRequestsPerSecond, requestsPerSecond);
	const perUser = isMeanRate ? allowedPerSecond / users : Math.min(1, allowedPerSecond);
	return millisecondsPerSecond / perUser;
}
