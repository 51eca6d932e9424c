/** Decides by rendezvous hashing which instance writes the next snapshot, so that instances agree without communicating. */
import {createHash} from 'node:crypto';
import {type InstanceId} from '../model/ids.js';

function weight(instance: InstanceId, throughOffset: number): string {
	return createHash('sha256').update(`${instance}/${throughOffset}`).digest('hex');
}

/**
Returns the rank of `self` among the instances that could write a snapshot; rank 0 writes it.

@param snapshotOffset Offset of the newest snapshot, so that the ranks change with each snapshot.
*/
export function snapshotWriterRank(self: InstanceId, others: readonly InstanceId[], snapshotOffset: number): number {
	const own = weight(self, snapshotOffset);
	return new Set(others.filter(other => other !== self && weight(other, snapshotOffset) < own)).size;
}
