/**
 * Tracks the epoch of the store. After a restore from an older copy the store assigns the same offsets again to other records,
 * so offsets are compared only within one epoch, and data of an earlier epoch is not taken in.
 */

declare const epochBrand: unique symbol;

/** Increases with each restore of the store. */
export type StoreEpoch = number & {readonly [epochBrand]: true};

/** The epoch before the first answer of the store, or if the store doesn't report one. */
export const unknownEpoch = 0 as StoreEpoch;

/** Result of comparing an epoch with the latest known one. */
export type EpochOrder = 'current' | 'later' | 'earlier';

/** Holds the latest known epoch, which never decreases. */
export class LatestEpoch {
	#current: StoreEpoch = unknownEpoch;

	get current(): StoreEpoch {
		return this.#current;
	}

	/**
	 * Compares an epoch with the current one and makes it the current one if it is later.
	 *
	 * @param epoch - `undefined` if none was reported, which counts as the current one
	 */
	observe(epoch: StoreEpoch | undefined): EpochOrder {
		if (epoch === undefined || epoch === this.#current) {
			return 'current';
		}

		if (epoch < this.#current) {
			return 'earlier';
		}

		this.#current = epoch;
		return 'later';
	}
}
