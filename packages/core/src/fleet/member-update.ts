/** Updates about members that instances pass on to each other. */
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';

/** State of one member as it is passed on by other instances. Plain data. */
export type MemberUpdate = {
	/** IP address; the ports are the same on all instances. */
	readonly host: string;
	readonly incarnation: IncarnationId;
	readonly availabilityZone: AvailabilityZoneId;
	readonly ready: boolean;
	readonly leaving: boolean;
	readonly reachesStore: boolean;
	readonly reachesUpstreams: boolean;
	/** Incremented by the member itself with each change of its reported state, and raised to refute that it is lost. */
	readonly revision: number;
	/** The member did not answer when it was asked whether it is alive. */
	readonly isLost: boolean;
};

/**
 * Whether an update replaces the known state of a member. A later process wins (incarnations sort by their start), then the
 * higher revision. At equal revisions a loss wins, so that only the member itself can refute it.
 */
export function supersedes(update: Pick<MemberUpdate, 'incarnation' | 'revision' | 'isLost'>, known: Pick<MemberUpdate, 'incarnation' | 'revision' | 'isLost'>): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}

	return update.revision === known.revision ? update.isLost && !known.isLost : update.revision > known.revision;
}
