/** How many of an upstream's connections one instance may hold, so that the fleet stays within its number. */
import type {InstanceId} from '../model/ids.js';
import type {Upstream} from '../model/upstream.js';
import {hashText} from './hash-text.js';

/**
 * The share is taken of the configured greatest number of instances, not of a list that lags: whatever each
 * instance believes of the others, the sum stays within the upstream's number. Where an upstream accepts fewer
 * connections than there may be instances, it is shared by those that come first in rendezvous order; only
 * then does the bound depend on the list.
 *
 * @returns connections this instance may hold; 0 means that the upstream is not for it
 */
export function connectionShare(upstream: Upstream, maximumInstances: number, instance: InstanceId, instances: readonly InstanceId[]): number {
	const share = Math.floor(upstream.connections / maximumInstances);
	if (share > 0) {
		return share;
	}

	const ownRank = hashText(`${instance}/${upstream.id}`);
	const before = instances.filter(other => other !== instance && hashText(`${other}/${upstream.id}`) < ownRank).length;
	return before < upstream.connections ? 1 : 0;
}
