/** Who writes the next snapshot: rendezvous hashing, so that instances agree without talking. */
import {createHash} from 'node:crypto';
import {type InstanceId} from '../model/ids.js';

function weight(instance: InstanceId, throughOffset: number): string {
	return createHash('sha256').update(`${instance}/${throughOffset}`).digest('hex');
}

/**
Place of `self` among the instances that could write a snapshot, 0 for the one whose turn it is.

@param snapshotOffset Offset of the newest snapshot, so that the turn passes on with each.
*/
export function snapshotWriterRank(self: InstanceId, others: readonly InstanceId[], snapshotOffset: number): number {
	const own = weight(self, snapshotOffset);
	return new Set(others.filter(other => other !== self && weight(other, snapshotOffset) < own)).size;
}
