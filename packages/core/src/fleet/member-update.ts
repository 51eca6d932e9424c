/** What instances pass on of one member, from one that knows it to others that may not. */
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';

/** Plain data. */
export type MemberUpdate = {
	/** IP number; the ports are the same on all instances. */
	readonly host: string;
	readonly incarnation: IncarnationId;
	readonly availabilityZone: AvailabilityZoneId;
	readonly ready: boolean;
	readonly leaving: boolean;
	readonly reachesStore: boolean;
	/** Raised by the member itself with each change of what it says of itself, and to contradict that it is lost. */
	readonly revision: number;
	/** It has left all asks unanswered. */
	readonly isLost: boolean;
};

/**
 * Whether an update goes before what is known of a member: those of a later process first (incarnations sort by their start),
 * then the higher revision, then that it is lost, which only the member itself can take back.
 */
export function supersedes(update: Pick<MemberUpdate, 'incarnation' | 'revision' | 'isLost'>, known: Pick<MemberUpdate, 'incarnation' | 'revision' | 'isLost'>): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	return update.revision === known.revision ? update.isLost && !known.isLost : update.revision > known.revision;
}
