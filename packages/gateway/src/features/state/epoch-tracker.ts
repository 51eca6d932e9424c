/** Follows the epoch of the store: what belongs to an earlier one is left out, a later one starts positions anew. */
import {
	lapseGraceMs, LatestEpoch, unknownEpoch, type EpochOrder, type RemovalConfidence, type StoreEpoch,
} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';

export type EpochTrackerOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	/** Positions of before mean nothing any more. */
	readonly onLater: () => void;
	/** The store has come back from an older copy; not called for the first epoch that is heard of. */
	readonly onRestored: () => void;
};

/** From where an epoch was learnt. */
export type EpochSource = 'store' | 'instance';

export class EpochTracker {
	readonly #options: EpochTrackerOptions;
	readonly #latest = new LatestEpoch();
	#restoredAtMs = Number.NEGATIVE_INFINITY;
	#isMissed = false;

	constructor(options: EpochTrackerOptions) {
		this.#options = options;
	}

	get current(): StoreEpoch {
		return this.#latest.current;
	}

	/** How sure removals are in what an instance hands over: it lacks entries for a while that a restored store has lost. */
	get handedOverConfidence(): RemovalConfidence {
		const isJustRestored = this.#options.context.clock.monotonicMs() - this.#restoredAtMs < lapseGraceMs;
		return isJustRestored ? {type: 'after-outage', returnedAtMs: this.#restoredAtMs} : {type: 'sound'};
	}

	/** An answer of the store or another instance names an epoch. @returns how it stands to the one that was current */
	observe(epoch: StoreEpoch | undefined, source: EpochSource): EpochOrder {
		const before = this.current;
		this.#noteMissing(epoch);
		const order = this.#latest.observe(epoch);
		if (order === 'later') {
			this.#began(before, source);
		} else if (order === 'earlier' && epoch !== unknownEpoch) {
			this.#options.context.metrics.outdatedState.inc({source});
		}

		return order;
	}

	#began(before: StoreEpoch, source: EpochSource): void {
		const {context: {clock, logger, metrics}, onLater, onRestored} = this.#options;
		metrics.storeEpoch.set(this.current);
		onLater();
		if (before === unknownEpoch) {
			return;
		}

		this.#restoredAtMs = clock.monotonicMs();
		logger.warn('store restored from an older copy', {before, epoch: this.current, source});
		onRestored();
	}

	#noteMissing(epoch: StoreEpoch | undefined): void {
		if (epoch === undefined && this.current !== unknownEpoch && !this.#isMissed) {
			this.#isMissed = true;
			this.#options.context.logger.warn('store does not tell its epoch', {epoch: this.current});
		}
	}
}
