/** Chooses the follower, the instance that reads the store on behalf of all. */
import type {IncarnationId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';

export type FollowerCandidate = {
	readonly incarnation: IncarnationId;
	readonly reachesStore: boolean;
	readonly leaving: boolean;
};

/**
 * Chooses the first candidate in the order of hashes, preferably one that reaches the store and isn't leaving. All instances
 * with the same view choose the same one, and the order of the others doesn't change when an instance joins or leaves. One
 * follower is enough: the others read for themselves as soon as the state that it passes on is too old.
 */
export function chooseFollower(candidates: readonly FollowerCandidate[]): IncarnationId | undefined {
	const preferred = candidates.filter(({reachesStore, leaving}) => reachesStore && !leaving);
	const eligible = preferred.length > 0 ? preferred : candidates;
	const orders = eligible.map(({incarnation}) => hashText(incarnation));
	return eligible[orders.indexOf(Math.min(...orders))]?.incarnation;
}

/** Position of an instance in the order of hashes among all instances, from 0. */
export function followerRank(incarnation: IncarnationId, others: ReadonlyArray<Pick<FollowerCandidate, 'incarnation'>>): number {
	const own = hashText(incarnation);
	return others.filter(other => hashText(other.incarnation) < own).length;
}
