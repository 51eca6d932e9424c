/** Intervals and limits of gossip, with their defaults. */
import {z} from 'zod';

const transmissionsPerDoubling = 3;

export const membershipTimingSchema = z.strictObject({
	/** Interval between the gossip rounds that a daemon starts. */
	gossipIntervalMs: z.int().min(10).default(1000),
	/** Number of peers contacted per round. */
	fanOut: z.int().min(1).max(8).default(1),
	/** Number of peers informed at once of a drain or that this instance is leaving. */
	urgentFanOut: z.int().min(1).max(16).default(4),
	/** Shortest time between two urgent digests; updates that arrive in between are sent together. */
	urgentIntervalMs: z.int().min(0).default(100),
	/** Maximum size of a digest, in bytes of JSON. */
	digestBytes: z.int().min(512).default(1200),
	/** Time without a new heartbeat after which a member is suspected, in a fleet of one or two; each doubling of the fleet adds `suspectStepMs`. */
	suspectBaseMs: z.int().min(1).default(5000),
	suspectStepMs: z.int().min(0).default(2000),
	/**
	 * Number of heartbeats above that of a suspicion that do not refute it yet:
	 * when an instance dies, some peers have later heartbeats of it than the peer that finds it unreachable.
	 */
	suspicionMargin: z.int().min(0).default(5),
	/** Time for which a failed exchange counts against an instance, whatever heartbeats peers report. */
	unreachableHoldMs: z.int().min(0).default(2000),
	/** Time without a new heartbeat after which an incarnation is removed. */
	removeAfterMs: z.int().min(1).default(30_000),
	/** Time for which old digests cannot add a removed incarnation again. */
	tombstoneMs: z.int().min(1).default(120_000),
	/** Number of rounds between attempts to contact a suspected or listed instance, so that the end of a network partition is detected. */
	candidateRounds: z.int().min(1).default(5),
});

export type MembershipTiming = z.infer<typeof membershipTimingSchema>;

/** Time without a new heartbeat after which a member is suspected. It grows with the fleet, where a heartbeat needs more rounds to reach all. */
export function suspectAfterMs(timing: MembershipTiming, memberCount: number): number {
	const doublings = Math.ceil(Math.log2(Math.max(2, memberCount)));
	return timing.suspectBaseMs + (timing.suspectStepMs * (doublings - 1));
}

/** Number of digests that include an update before it is only sent in rotation. */
export function updateTransmissions(memberCount: number): number {
	return transmissionsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
}
