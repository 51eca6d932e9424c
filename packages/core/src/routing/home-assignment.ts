/** Assigns each instance its home upstreams, which it prefers. The result is the same on every instance that knows the same members. */
import type {InstanceId, UpstreamId} from '../model/ids.js';
import {hashText} from './hash-text.js';

function inHashOrder<T extends string>(ids: readonly T[]): T[] {
	return ids.toSorted((a, b) => hashText(a) - hashText(b) || (a < b ? -1 : 1));
}

/**
 * Returns the home upstreams of an instance. Each upstream is assigned `instancesPerUpstream` instances in rotation, so
 * that the numbers of homes of two instances differ by at most one.
 */
export function homesOf(instance: InstanceId, instances: readonly InstanceId[], upstreams: readonly UpstreamId[], instancesPerUpstream: number): Set<UpstreamId> {
	const members = inHashOrder([...new Set([...instances, instance])]);
	const position = members.indexOf(instance);
	const perUpstream = Math.min(instancesPerUpstream, members.length);
	const homes = new Set<UpstreamId>();
	for (const [index, upstream] of inHashOrder(upstreams).entries()) {
		const first = (index * perUpstream) % members.length;
		const distance = (position - first + members.length) % members.length;
		if (distance < perUpstream) {
			homes.add(upstream);
		}
	}

	return homes;
}
