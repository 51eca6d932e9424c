/** Computes how many connections one instance may open to an upstream, so that the fleet stays within the upstream's limit. */
import type {InstanceId} from '../model/ids.js';
import type {Upstream} from '../model/upstream.js';
import {hashText} from './hash-text.js';

/**
 * Divides the connections by the configured maximum number of instances instead of the current instance list, which may
 * be outdated. The sum therefore stays within the upstream's limit whatever each instance knows of the others. If an
 * upstream accepts fewer connections than there may be instances, the first instances in rendezvous hashing order get one
 * each; only in this case does the bound depend on the list.
 *
 * @returns number of connections that this instance may open; 0 if it must not use the upstream
 */
export function connectionShare(upstream: Upstream, maximumInstances: number, instance: InstanceId, instances: readonly InstanceId[]): number {
	const share = Math.floor(upstream.connections / maximumInstances);
	if (share > 0) {
		return share;
	}

	const ownRank = hashText(`${instance}/${upstream.id}`);
	const instancesAhead = instances.filter(other => other !== instance && hashText(`${other}/${upstream.id}`) < ownRank).length;
	return instancesAhead < upstream.connections ? 1 : 0;
}
