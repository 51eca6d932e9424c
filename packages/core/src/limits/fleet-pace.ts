/**
 * Keeps what all instances together send to one upstream within the rate that it bears: one that is cold and crashes well
 * above it, or one that advertises a limit. Instances don't agree on each request; a few of them, the same at all
 * instances with the same view, use the upstream, each at a pace of its own. Equal parts for all instances would not do:
 * in a large fleet one request from each already exceeds what a small rate allows in seconds.
 */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, UpstreamId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';

/** How long the choice of the users holds; members come and go far more seldom. */
const choiceLifetimeMs = 250;
/** Right after its start an instance knows few others and would take itself for a user of all. */
const settleMs = 1500;
const millisecondsPerSecond = 1000;
/** A user sends this much even where an upstream takes nothing, or nobody would learn that it takes requests again. */
const leastRequestsPerSecond = 0.1;
/** Upstreams of which something is kept: a whole availability zone that comes back cold at one moment. */
const maximumKept = 2048;

export type PacedUpstream = {
	readonly id: UpstreamId;
	readonly availabilityZone: AvailabilityZoneId;
	/** Requests a second that it bears, from all instances together. */
	readonly requestsPerSecond: number;
	/** Whether the rate holds over some seconds; else it holds in each second, as for one that crashes above it. */
	readonly isMeanRate: boolean;
};

/** An instance that may use paced upstreams. */
export type PacingInstance = {readonly host: string; readonly availabilityZone: AvailabilityZoneId};

export type FleetPaceOptions = {
	readonly clock: Clock;
	readonly self: PacingInstance;
	readonly others: () => readonly PacingInstance[];
	/** Whether others are known by name and none was ever heard: they use the upstreams, in numbers that nobody here knows. */
	readonly isCutOff: () => boolean;
};

type Turn = {
	readonly isUser: boolean;
	/** Instances that use the upstream, by the view of this one. */
	readonly users: number;
	readonly chosenAtMs: number;
	/** When it was last used; an instance waits a whole pause between two requests. */
	readonly usedAtMs: number;
};

export class FleetPace {
	readonly #options: FleetPaceOptions;
	readonly #settledAtMs: number;
	/** By upstream and kind of rate. */
	readonly #turns = new Map<string, Turn>();

	constructor(options: FleetPaceOptions) {
		this.#options = options;
		this.#settledAtMs = options.clock.monotonicMs() + settleMs;
	}

	/** Whether this instance may send it a request now. */
	mayUse(upstream: PacedUpstream): boolean {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs < this.#settledAtMs || this.#options.isCutOff()) {
			return false;
		}

		const {isUser, users, usedAtMs} = this.#turn(upstream);
		return isUser && nowMs - usedAtMs >= pauseMs(upstream, users);
	}

	/** A request is sent there. */
	recordUse(upstream: PacedUpstream): void {
		const turn = this.#turn(upstream);
		this.#put(keyOf(upstream), {...turn, usedAtMs: this.#options.clock.monotonicMs()});
	}

	#turn(upstream: PacedUpstream): Turn {
		const nowMs = this.#options.clock.monotonicMs();
		const known = this.#turns.get(keyOf(upstream));
		if (known !== undefined && nowMs - known.chosenAtMs < choiceLifetimeMs) {
			return known;
		}

		const turn = {...this.#choose(upstream), chosenAtMs: nowMs, usedAtMs: known?.usedAtMs ?? Number.NEGATIVE_INFINITY};
		this.#put(keyOf(upstream), turn);
		return turn;
	}

	/** The first in an order over the instances of its availability zone, or over all where it has none; another order for each upstream. */
	#choose({id, availabilityZone, requestsPerSecond}: PacedUpstream): Pick<Turn, 'isUser' | 'users'> {
		const {self, others} = this.#options;
		const all = others();
		const near = all.filter(other => other.availabilityZone === availabilityZone);
		const isNear = self.availabilityZone === availabilityZone;
		if (!isNear && near.length > 0) {
			return {isUser: false, users: near.length};
		}

		const candidates = isNear ? near : all;
		const users = Math.min(usersOf(requestsPerSecond), candidates.length + 1);
		const own = hashText(`${id} ${self.host}`);
		const ahead = candidates.filter(({host}) => hashText(`${id} ${host}`) < own).length;
		return {isUser: ahead < users, users};
	}

	#put(key: string, turn: Turn): void {
		this.#turns.delete(key);
		this.#turns.set(key, turn);
		if (this.#turns.size > maximumKept) {
			const [oldest] = this.#turns.keys();
			this.#turns.delete(oldest!);
		}
	}
}

function keyOf({id, isMeanRate}: PacedUpstream): string {
	return `${id} ${isMeanRate}`;
}

/** Instances that use one upstream, with about one request a second each where there are enough of them. */
function usersOf(requestsPerSecond: number): number {
	return Math.max(1, Math.floor(requestsPerSecond));
}

/** Between two requests of one user. */
function pauseMs({requestsPerSecond, isMeanRate}: PacedUpstream, users: number): number {
	const bornePerSecond = Math.max(leastRequestsPerSecond, requestsPerSecond);
	const perUser = isMeanRate ? bornePerSecond / users : Math.min(1, bornePerSecond);
	return millisecondsPerSecond / perUser;
}
