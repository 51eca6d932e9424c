/**
 * Tells one life of the store from the next. After a restore from an older copy the store gives positions out again for
 * other records, so positions are compared only within one epoch; what belongs to an earlier one is not taken in.
 */

declare const epochBrand: unique symbol;

/** Rises with each restore of the store. */
export type StoreEpoch = number & {readonly [epochBrand]: true};

/** Before anything of the store was heard, or where the store doesn't tell. */
export const unknownEpoch = 0 as StoreEpoch;

/** An epoch against the one that is believed to be current. */
export type EpochOrder = 'current' | 'later' | 'earlier';

/** The latest epoch that is known; never moves back. */
export class LatestEpoch {
	#current: StoreEpoch = unknownEpoch;

	get current(): StoreEpoch {
		return this.#current;
	}

	/**
	 * Takes notice of an epoch, which is the current one from then on where it is later.
	 *
	 * @param epoch - nothing where it isn't told, which counts as the current one
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
