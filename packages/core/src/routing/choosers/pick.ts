/** Picks from a list that is known to have entries. */
import type {RandomSource} from '../../model/random-source.js';

/** The entry at `index`; an index out of range is a fault of the caller. */
export function entryAt<T>(entries: readonly T[], index: number): T {
	const entry = entries[index];
	if (entry === undefined) {
		throw new RangeError(`no entry ${index} of ${entries.length}`);
	}

	return entry;
}

/** A uniformly drawn entry. */
export function randomEntry<T>(entries: readonly T[], random: RandomSource): T {
	return entryAt(entries, random.nextInteger(entries.length));
}

/** Two distinct entries drawn uniformly, or the only one twice. */
export function twoRandomEntries<T>(entries: readonly T[], random: RandomSource): [T, T] {
	const first = random.nextInteger(entries.length);
	if (entries.length === 1) {
		return [entryAt(entries, first), entryAt(entries, first)];
	}

	const other = random.nextInteger(entries.length - 1);
	const second = other < first ? other : other + 1;
	return [entryAt(entries, first), entryAt(entries, second)];
}

/**
 * The entry of the lowest cost, ties broken evenly. The scan starts at a random place and looks at `compared`
 * entries, so that a large service costs no more than a small one.
 */
export function lowestCost<T>(entries: readonly T[], compared: number, random: RandomSource, cost: (entry: T) => number): T {
	const count = Math.min(entries.length, compared);
	let index = random.nextInteger(entries.length);
	let best = entryAt(entries, index);
	let bestCost = cost(best);
	let ties = 1;
	for (let seen = 1; seen < count; seen++) {
		index = index + 1 === entries.length ? 0 : index + 1;
		const entry = entryAt(entries, index);
		const entryCost = cost(entry);
		if (entryCost < bestCost) {
			best = entry;
			bestCost = entryCost;
			ties = 1;
		} else if (entryCost === bestCost) {
			ties++;
			best = random.nextInteger(ties) === 0 ? entry : best;
		}
	}

	return best;
}
