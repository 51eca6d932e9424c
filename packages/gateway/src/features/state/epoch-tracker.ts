/** Tracks the epoch of the store: data of an earlier epoch is ignored, and a later epoch resets the offsets. */
import {
	lapseGraceMs, LatestEpoch, unknownEpoch, type EpochOrder, type RemovalConfidence, type StoreEpoch,
} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';

export type EpochTrackerOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	/** Called when a later epoch has begun, so that offsets of earlier epochs are no longer valid. */
	readonly onLaterEpoch: () => void;
	/** Called when the store was restored from an older copy; not called for the first epoch that is observed. */
	readonly onRestored: () => void;
};

/** Origin of an observed epoch. */
export type EpochSource = 'store' | 'instance';

export class EpochTracker {
	readonly #options: EpochTrackerOptions;
	readonly #latest = new LatestEpoch();
	#restoredAtMs = Number.NEGATIVE_INFINITY;
	#hasWarnedOfMissing = false;

	constructor(options: EpochTrackerOptions) {
		this.#options = options;
	}

	get current(): StoreEpoch {
		return this.#latest.current;
	}

	/** Confidence in removals that follow from state of another instance. For some time after a restore, that state lacks the entries that the store has lost. */
	get handedOverConfidence(): RemovalConfidence {
		const isJustRestored = this.#options.context.clock.monotonicMs() - this.#restoredAtMs < lapseGraceMs;
		return isJustRestored ? {type: 'after-outage', returnedAtMs: this.#restoredAtMs} : {type: 'sound'};
	}

	/** Compares the epoch that the store or another instance reports with the current one, and makes it the current one if it is later. */
	observe(epoch: StoreEpoch | undefined, source: EpochSource): EpochOrder {
		const before = this.current;
		this.#warnIfMissing(epoch);
		const order = this.#latest.observe(epoch);
		if (order === 'later') {
			this.#startEpoch(before, source);
		} else if (order === 'earlier' && epoch !== unknownEpoch) {
			this.#options.context.metrics.outdatedState.inc({source});
		}

		return order;
	}

	#startEpoch(before: StoreEpoch, source: EpochSource): void {
		const {context: {clock, logger, metrics}, onLaterEpoch, onRestored} = this.#options;
		metrics.storeEpoch.set(this.current);
		onLaterEpoch();
		if (before === unknownEpoch) {
			return;
		}

		this.#restoredAtMs = clock.monotonicMs();
		logger.warn('store restored from an older copy', {before, epoch: this.current, source});
		onRestored();
	}

	#warnIfMissing(epoch: StoreEpoch | undefined): void {
		if (epoch === undefined && this.current !== unknownEpoch && !this.#hasWarnedOfMissing) {
			this.#hasWarnedOfMissing = true;
			this.#options.context.logger.warn('store does not tell its epoch', {epoch: this.current});
		}
	}
}
