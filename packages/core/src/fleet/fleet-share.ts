/**
 * Computes the share of one instance in a limit that holds for the whole fleet. The shares together stay within the limit in
 * every window only if no instance divides it by fewer instances than there are. An instance therefore has no share until
 * one window, plus the time in which all others learn of it, has passed since its start. By then, the window no longer
 * contains what others used under larger shares, or what the previous process at its address used. At the first start of the
 * fleet nothing was used before, so instances that start before any instance has a share wait only until they know each other.
 */
import type {Clock} from '../model/clock.js';
import type {FleetSize} from './fleet-size.js';

/** Time until all live instances know of a new one, even if some datagrams are lost. */
const propagationMs = 2000;
/**
 * An instance that starts during a network partition sees only its own part of the fleet. Unless an instance that knew the
 * fleet before reports its size, or all addresses in its settings and the store are heard from, it waits this long before it
 * relies on the number of instances that it sees. If it sees no other instance, it continues to wait.
 */
const partitionWaitMs = 60_000;
/** Lower bound of the assumed fleet size, for fleets that were partitioned before the instances knew each other. */
const minimumInstances = 8;

export type FleetShare =
	| {readonly type: 'none'; readonly reason: NoShareReason}
	| {readonly type: 'held'; readonly instances: number};

export type NoShareReason =
	/** The instance started a moment ago and may not know all others yet. */
	| 'learning'
	/** Some known addresses were not heard from, so there may be more instances than it sees. */
	| 'cut-off';

export type FleetShareOptions = {
	readonly clock: Clock;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Longest window of a limit that the fleet shares. */
	readonly windowMs: () => number;
	readonly size: Pick<FleetSize, 'greatest' | 'isReported'>;
	/** Whether an instance was heard at each address that the settings or the store contain. */
	readonly hasHeardAllAddresses: () => boolean;
};

/** Formats a share for a log line. */
export function describeShare(share: FleetShare): string {
	switch (share.type) {
		case 'none': {
			return `share=${share.reason}`;
		}

		case 'held': {
			return `instances=${share.instances}`;
		}
	}
}

/** Tracks whether this instance has a share yet; once it has one, it keeps it. */
export class FleetShareTracker {
	readonly #options: FleetShareOptions;
	readonly #startedAtMs: number;
	#isSizeKnown = false;

	constructor(options: FleetShareOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/** Assumed number of instances of the fleet, whether or not this one has a share. */
	get instances(): number {
		return Math.max(minimumInstances, this.#options.size.greatest);
	}

	/** Whether no other instance was heard although addresses of others are known. */
	get isCutOff(): boolean {
		const {size, hasHeardAllAddresses: hasHeardAll} = this.#options;
		return size.greatest === 1 && !hasHeardAll();
	}

	get current(): FleetShare {
		this.#isSizeKnown ||= this.#knowsSize();
		if (this.#isSizeKnown) {
			return {type: 'held', instances: this.instances};
		}

		return {type: 'none', reason: this.#isLearning ? 'learning' : 'cut-off'};
	}

	get #isLearning(): boolean {
		const {isFirstStart, size, windowMs} = this.#options;
		const isAmongFirst = isFirstStart && !size.isReported;
		return this.#sinceStartMs < propagationMs + (isAmongFirst ? 0 : windowMs());
	}

	get #sinceStartMs(): number {
		return this.#options.clock.monotonicMs() - this.#startedAtMs;
	}

	#knowsSize(): boolean {
		const {isFirstStart, hasHeardAllAddresses: hasHeardAll, size} = this.#options;
		if (this.#isLearning) {
			return false;
		}

		const hasWaited = size.greatest > 1 && this.#sinceStartMs >= partitionWaitMs;
		return isFirstStart || size.isReported || hasHeardAll() || hasWaited;
	}
}
