/** Which instances enter themselves in the store, so that others find them: each call to the store is paid for. */

/**
 * Instances that the store names. A newcomer asks the others that its settings name; only where none of them answers does
 * it need the store, and any one that is up there tells it of all. Eight are all gone at once less than once in a
 * hundred times that half of all instances are.
 */
const namedInstances = 8;
/** An instance that has heard nobody by now looks into the store. */
const aloneAfterMs = 250;
/** Until then the view of a fleet that starts at one moment is too small to tell the first of all instances. */
const settledAfterMs = 3000;

export type EntrySituation = {
	/** Others were named to it before the start, and it was not named to them. */
	readonly hasSeeds: boolean;
	/** Any other instance was heard since the start. */
	readonly hasHeardOthers: boolean;
	/** Place of this instance in the order of all live ones. */
	readonly rank: number;
	/** The store names it. */
	readonly isEntered: boolean;
	/** It has read what the store names. */
	readonly hasListed: boolean;
	readonly sinceStartMs: number;
};

export type EntryPlan =
	/** Nothing for now. */
	| 'wait'
	/** It puts its own address into the store. */
	| 'enter'
	/** It puts its own address there, and then reads those of others: of two that start together one sees the other. */
	| 'enter-and-list';

/** What an instance does about its entry in the store. */
export function planEntry({hasSeeds, hasHeardOthers, rank, isEntered, hasListed, sinceStartMs}: EntrySituation): EntryPlan {
	if (!hasHeardOthers && !hasListed) {
		return hasSeeds && sinceStartMs < aloneAfterMs ? 'wait' : 'enter-and-list';
	}

	return !isEntered && rank < namedInstances && sinceStartMs >= settledAfterMs ? 'enter' : 'wait';
}
