/** Functions that pick entries from a non-empty list. */
import type {RandomSource} from '../../model/random-source.js';

/** Returns the entry at `index`. Throws if the index is out of range, as that is a bug in the caller. */
export function entryAt<T>(entries: readonly T[], index: number): T {
	const entry = entries[index];
	if (entry === undefined) {
		throw new RangeError(`index ${index} is out of range for ${entries.length} entries`);
	}

	return entry;
}

/** Returns a random entry, uniformly distributed. */
export function randomEntry<T>(entries: readonly T[], random: RandomSource): T {
	return entryAt(entries, random.nextInteger(entries.length));
}

/** Returns two distinct random entries, uniformly distributed, or the only entry twice. */
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
 * Returns the entry with the lowest cost; ties are broken at random. Compares only `compared` entries, starting at a
 * random index, so that the work for one choice stays bounded in a large service.
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
