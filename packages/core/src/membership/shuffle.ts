/** Random orders, uniform and weighted. */
import type {RandomSource} from '../model/random-source.js';

/** Returns a shuffled copy (Fisher-Yates). */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
	const shuffled = [...items];
	for (let last = shuffled.length - 1; last > 0; last--) {
		const other = random.nextInteger(last + 1);
		[shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
	}

	return shuffled;
}

/**
 * Returns a copy in weighted random order: the probability of an item to come first is proportional to its weight
 * (Efraimidis and Spirakis). Weights must be positive.
 */
export function weightedShuffle<Item>(items: readonly Item[], weight: (item: Item) => number, random: RandomSource): Item[] {
	return items
		.map(item => ({item, key: Math.log(Math.max(random.next(), Number.MIN_VALUE)) / weight(item)}))
		.sort((a, b) => b.key - a.key)
		.map(({item}) => item);
}
