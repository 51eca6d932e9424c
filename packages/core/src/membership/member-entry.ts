/** What one process of an entry instance says about itself, passed on by others as it was said. */
import {z} from 'zod';
import {addressSchema} from '../model/address.js';
import {availabilityZoneIdSchema, incarnationIdSchema, instanceIdSchema} from '../model/ids.js';

/** In the order that a process goes through them; it never goes back. */
export const memberStates = ['starting', 'live', 'leaving'] as const;

export type MemberState = typeof memberStates[number];

const maximumHashLength = 64;
/** Older ones have expired long before a process takes over this many. */
export const maximumTablesHeld = 20;

/** Unknown fields are dropped, so that daemons of two versions understand each other. */
export const memberEntrySchema = z.object({
	instance: instanceIdSchema,
	incarnation: incarnationIdSchema,
	/** Rises with each gossip round of the process. */
	heartbeat: z.int().min(0),
	/** `starting` until a configuration is in force. */
	state: z.enum(memberStates),
	callerAddress: addressSchema,
	peerAddress: addressSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** Offset of the last accepted change in force there; 0 for none. */
	configurationOffset: z.int().min(0),
	configurationHash: z.string().max(maximumHashLength),
	/** Stopped processes whose at-most-once tables this one took over. */
	holdsTablesOf: z.array(incarnationIdSchema).max(maximumTablesHeld).optional(),
	/** Load of the last seconds, for spreading callers. */
	callsPerSecond: z.int().min(0),
});

export type MemberEntry = z.infer<typeof memberEntrySchema>;

/** The later of two states. */
export function laterState(left: MemberState, right: MemberState): MemberState {
	return memberStates.indexOf(left) >= memberStates.indexOf(right) ? left : right;
}

/**
 * Joins two entries of one incarnation: the higher heartbeat's figures, and the later state of both,
 * so that a leaving mark stays however entries arrive.
 */
export function joinEntries(left: MemberEntry, right: MemberEntry): MemberEntry {
	const newer = right.heartbeat > left.heartbeat ? right : left;
	return {...newer, state: laterState(left.state, right.state)};
}
