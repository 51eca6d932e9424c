/** Orders instances by rendezvous hashing: the first one that is reachable decides on the requests of an account. */
import type {ClientAccountId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';

/** Sorts hosts into the order of an account, which is the same on all instances, whatever else they know. */
export function ownerOrder(account: ClientAccountId, hosts: readonly string[]): readonly string[] {
	return hosts
		.map(host => ({host, rank: hashText(`${account} ${host}`)}))
		.sort((left, right) => left.rank - right.rank || (left.host < right.host ? -1 : 1))
		.map(({host}) => host);
}
