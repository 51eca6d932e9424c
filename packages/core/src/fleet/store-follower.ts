/** Which instance reads the store on behalf of all. */
import type {IncarnationId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';

export type FollowerCandidate = {
	readonly incarnation: IncarnationId;
	readonly reachesStore: boolean;
	readonly leaving: boolean;
};

/**
 * The first in a hash order over the live instances: every instance with the same view names the same one, and an
 * instance that comes or goes moves nothing but its own turn. One is enough: the others read for themselves as soon as
 * what it tells grows old.
 */
export function chooseFollower(candidates: readonly FollowerCandidate[]): IncarnationId | undefined {
	const fit = candidates.filter(({reachesStore, leaving}) => reachesStore && !leaving);
	const eligible = fit.length > 0 ? fit : candidates;
	const orders = eligible.map(({incarnation}) => hashText(incarnation));
	return eligible[orders.indexOf(Math.min(...orders))]?.incarnation;
}

/** Place of an instance in that order among all, from 0. */
export function followerRank(incarnation: IncarnationId, others: ReadonlyArray<Pick<FollowerCandidate, 'incarnation'>>): number {
	const own = hashText(incarnation);
	return others.filter(other => hashText(other.incarnation) < own).length;
}
