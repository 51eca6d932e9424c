/** An entry that a process of an entry instance makes about itself. Others forward it unchanged. */
import {z} from 'zod';
import {addressSchema} from '../model/address.js';
import {availabilityZoneIdSchema, incarnationIdSchema, instanceIdSchema} from '../model/ids.js';

/** States in the order in which a process goes through them; it never goes back. */
export const memberStates = ['starting', 'live', 'leaving'] as const;

export type MemberState = typeof memberStates[number];

const maximumHashLength = 64;
/** Greatest number of tables that a process lists as taken over. The oldest have expired long before it takes over this many. */
export const maximumTablesHeld = 20;

/** Ignores unknown fields, so that daemons of different versions can exchange entries. */
export const memberEntrySchema = z.object({
	instance: instanceIdSchema,
	incarnation: incarnationIdSchema,
	/** Increases with each gossip round of the process. */
	heartbeat: z.int().min(0),
	/** `starting` until a configuration is in force. */
	state: z.enum(memberStates),
	callerAddress: addressSchema,
	peerAddress: addressSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** Offset of the last accepted change in force in the process; 0 for none. */
	configurationOffset: z.int().min(0),
	configurationHash: z.string().max(maximumHashLength),
	/** Stopped processes whose at-most-once tables this process has taken over. */
	holdsTablesOf: z.array(incarnationIdSchema).max(maximumTablesHeld).optional(),
	/** Load of the last seconds, used to distribute callers. */
	callsPerSecond: z.int().min(0),
});

export type MemberEntry = z.infer<typeof memberEntrySchema>;

/** Returns the later of two states. */
export function laterState(left: MemberState, right: MemberState): MemberState {
	return memberStates.indexOf(left) >= memberStates.indexOf(right) ? left : right;
}

/**
 * Merges two entries of one incarnation: the fields of the one with the higher heartbeat, and the later of both states,
 * so that `leaving` stays in whatever order entries arrive.
 */
export function mergeEntries(left: MemberEntry, right: MemberEntry): MemberEntry {
	const newer = right.heartbeat > left.heartbeat ? right : left;
	return {...newer, state: laterState(left.state, right.state)};
}
