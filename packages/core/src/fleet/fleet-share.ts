/**
 * The share that one instance has in a bound of the whole fleet. All shares together stay within the bound in every window
 * only if no instance divides it by fewer instances than there are, so an instance has no share before it can know how
 * many there are: a window after its start and the time in which all others learn of it. What others used by larger
 * shares has left the window by then, and so has what a process before it in its place has used. At the first start of
 * the fleet nothing was used before: those that start before any instance has a share wait only until they know each other.
 */
import type {Clock} from '../model/clock.js';
import type {FleetSize} from './fleet-size.js';

/** Until all live instances have learnt of a new one, also where some datagrams are lost. */
const propagationMs = 2000;
/**
 * An instance that started while it was cut off sees its own part of the fleet only. Without word from an instance that knew
 * the fleet before, or from those named in its settings, it waits this long before it believes what it sees.
 */
const cutMs = 60_000;
/** Parts of a fleet that lost each other before they knew it may be this many at least. */
const leastInstances = 8;

export type FleetShare =
	| {readonly type: 'none'; readonly reason: NoShareReason}
	| {readonly type: 'held'; readonly instances: number};

export type NoShareReason =
	/** It started a moment ago. */
	| 'learning'
	/** Others are known by name and were not heard, so there may be more than are seen. */
	| 'cut-off';

export type FleetShareOptions = {
	readonly clock: Clock;
	/** The whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Longest window of a bound that is shared. */
	readonly windowMs: () => number;
	readonly size: Pick<FleetSize, 'greatest' | 'isReported'>;
	/** Whether all instances were heard that the settings or the store name. */
	readonly hasHeardAllAddresses: () => boolean;
};

/** For the log. */
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

export class FleetShareTracker {
	readonly #options: FleetShareOptions;
	readonly #startedAtMs: number;
	#isSizeKnown = false;

	constructor(options: FleetShareOptions) {
		this.#options = options;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/** The fleet has at least so many instances, whether this one has a share or not. */
	get instances(): number {
		return Math.max(leastInstances, this.#options.size.greatest);
	}

	/** Whether others are known by name and none was heard. */
	get isCutOff(): boolean {
		const {size, hasHeardAllAddresses: hasHeardNamed} = this.#options;
		return size.greatest === 1 && !hasHeardNamed();
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
		const {isFirstStart, hasHeardAllAddresses: hasHeardNamed, size} = this.#options;
		if (this.#isLearning) {
			return false;
		}

		const hasWaited = size.greatest > 1 && this.#sinceStartMs >= cutMs;
		return isFirstStart || size.isReported || hasHeardNamed() || hasWaited;
	}
}
