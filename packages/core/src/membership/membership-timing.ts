/** Intervals and bounds of gossip, with their defaults. */
import {z} from 'zod';

const transmissionsPerDoubling = 3;

export const membershipTimingSchema = z.strictObject({
	/** Time between two exchanges that a daemon begins. */
	gossipIntervalMs: z.int().min(10).default(1000),
	/** Peers per round. */
	fanOut: z.int().min(1).max(8).default(1),
	/** Peers that hear at once of a drain or of the own leaving. */
	urgentFanOut: z.int().min(1).max(16).default(4),
	/** Shortest time between two urgent pushes; what comes between goes together. */
	urgentIntervalMs: z.int().min(0).default(100),
	/** Greatest size of one digest, in bytes of JSON. */
	digestBytes: z.int().min(512).default(1200),
	/** Silence after which a fleet of one or two is suspected; each doubling adds `suspectStepMs`. */
	suspectBaseMs: z.int().min(1).default(5000),
	suspectStepMs: z.int().min(0).default(2000),
	/**
	 * Heartbeats above the one of a suspicion that do not refute it yet:
	 * when an instance dies, some have heard later heartbeats than the one that finds it dead.
	 */
	suspicionMargin: z.int().min(0).default(5),
	/** How long a failed exchange counts against an instance, whatever others say. */
	unreachableHoldMs: z.int().min(0).default(2000),
	/** Silence after which an incarnation is removed. */
	removeAfterMs: z.int().min(1).default(30_000),
	/** How long a removed incarnation is kept from coming back by old digests. */
	tombstoneMs: z.int().min(1).default(120_000),
	/** Every so many rounds one suspected or listed instance is tried, so that a healed network is seen. */
	candidateRounds: z.int().min(1).default(5),
});

export type MembershipTiming = z.infer<typeof membershipTimingSchema>;

/** Silence after which a member is suspected: a heartbeat needs more rounds to reach all of a larger fleet. */
export function suspectAfterMs(timing: MembershipTiming, memberCount: number): number {
	const doublings = Math.ceil(Math.log2(Math.max(2, memberCount)));
	return timing.suspectBaseMs + (timing.suspectStepMs * (doublings - 1));
}

/** How many exchanges carry an update before it is only sent in rotation. */
export function updateTransmissions(memberCount: number): number {
	return transmissionsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
}
