/**
 * Decides which instances enter their address in the store, so that others find them. Not all do so, as each call to the
 * store is paid for.
 */

/**
 * Number of instances whose addresses are in the store. A new instance first asks the addresses in its settings. It needs the
 * store only if none of them answers, and any live instance from the store informs it of all others. If half of all instances
 * are gone, the chance that all eight are among them is less than 1 in 100.
 */
const storedInstances = 8;
/** Time after the start at which an instance that has heard no other one reads the store. */
const discoveryTimeoutMs = 250;
/** Time after the start from which the order of instances is reliable: if all instances start at once, each one's view is incomplete before. */
const settledAfterMs = 3000;

export type EntrySituation = {
	/** Its settings contain seeds, and it is not one of them. */
	readonly hasSeeds: boolean;
	/** Another instance was heard since the start. */
	readonly hasHeardOthers: boolean;
	/** Position of this instance in the order of all live ones. */
	readonly rank: number;
	/** Its address is in the store. */
	readonly isEntered: boolean;
	/** It has read the addresses in the store. */
	readonly hasListed: boolean;
	readonly sinceStartMs: number;
};

export type EntryPlan =
	/** Do nothing for now. */
	| 'wait'
	/** Write the own address to the store. */
	| 'enter'
	/** Write the own address to the store, then read those of others, so that of two instances that start together one finds the other. */
	| 'enter-and-list';

/** Decides what an instance does next about its entry in the store. */
export function planEntry({hasSeeds, hasHeardOthers, rank, isEntered, hasListed, sinceStartMs}: EntrySituation): EntryPlan {
	if (!hasHeardOthers && !hasListed) {
		return hasSeeds && sinceStartMs < discoveryTimeoutMs ? 'wait' : 'enter-and-list';
	}

	return !isEntered && rank < storedInstances && sinceStartMs >= settledAfterMs ? 'enter' : 'wait';
}
