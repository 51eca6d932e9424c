/** Deterministic subsetting: selects the upstreams of a service that an instance of a large fleet prefers. */
import {hashText} from '../routing/hash-text.js';

/** Upstreams in the subset of one instance: few enough that connections are reused, and enough that some of them are not slow. */
export const subsetSize = 12;

/** Position of an instance among those that share the same upstreams, in an order that is the same on all of them. */
export type SubsetPosition = {
	/** Starts at 0. */
	readonly index: number;
	readonly count: number;
};

/** @param others - hosts of the other instances that share the same upstreams */
export function subsetPositionOf(host: string, others: readonly string[]): SubsetPosition {
	const own = hashText(host);
	return {index: others.filter(other => hashText(other) < own).length, count: others.length + 1};
}

/** Sorts the upstreams of a service into their order on the ring, which is the same on all instances. */
export function ringOrder<Item>(items: readonly Item[], idOf: (item: Item) => string): readonly Item[] {
	return items
		.map(item => ({item, order: hashText(idOf(item))}))
		.sort((left, right) => left.order - right.order)
		.map(({item}) => item);
}

/**
 * Takes the next upstreams on the ring, starting at the instance's own point. The points of all instances divide the ring evenly, so
 * the numbers of subsets that contain each upstream differ by at most one. An instance or upstream that joins or leaves shifts the
 * subsets of the others by less than one upstream.
 *
 * @param ring - see {@link ringOrder}
 * @param isUsable - an upstream for which it returns false is skipped, and the next one takes its place
 */
export function takeSubset<Item>(ring: readonly Item[], {index, count}: SubsetPosition, isUsable: (item: Item) => boolean): readonly Item[] {
	const start = Math.floor(ring.length * index / Math.max(1, count));
	const taken: Item[] = [];
	for (let step = 0; step < ring.length && taken.length < subsetSize; step++) {
		const item = ring[(start + step) % ring.length]!;
		if (isUsable(item)) {
			taken.push(item);
		}
	}

	return taken;
}
