/** Deterministic subsetting: which upstreams of a service an instance of a large fleet uses first. */
import {hashText} from '../routing/hash-text.js';

/** Upstreams in the subset of one instance: few enough that connections are reused, enough that some are not slow. */
export const subsetSize = 12;

/** Position of an instance among those that share the same upstreams; all of them see the same order. */
export type SubsetPosition = {
	/** From 0. */
	readonly index: number;
	readonly count: number;
};

/** @param others - hosts of the others that share the same upstreams */
export function subsetPositionOf(host: string, others: readonly string[]): SubsetPosition {
	const own = hashText(host);
	return {index: others.filter(other => hashText(other) < own).length, count: others.length + 1};
}

/** Order of the upstreams of a service on the ring; the same at all instances. */
export function ringOrder<Item>(items: readonly Item[], idOf: (item: Item) => string): readonly Item[] {
	return items
		.map(item => ({item, order: hashText(idOf(item))}))
		.sort((left, right) => left.order - right.order)
		.map(({item}) => item);
}

/**
 * Takes the next upstreams on the ring from the instance's own point on. The points of all instances divide the ring
 * evenly, so the subsets differ by one in how often they hold an upstream; an instance or upstream that joins or leaves
 * moves the subsets of the others by less than one upstream.
 *
 * @param ring - see {@link ringOrder}
 * @param isUsable - what is not is passed over, and the next one takes its place
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
