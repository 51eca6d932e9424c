/** Message that two daemons send each other in one gossip exchange. */
import {z} from 'zod';
import {incarnationIdSchema} from '../model/ids.js';
import {suspectSchema} from '../poison/suspect.js';
import {drainMarkSchema} from './drain-mark.js';
import {memberEntrySchema} from './member-entry.js';
import {suspicionSchema} from './suspicion.js';

const maximumItems = 5000;

export const gossipDigestSchema = z.object({
	/** The sender's current entry. */
	self: memberEntrySchema,
	/** Requests a full digest; set in exchanges with instances that are not known as reachable, such as after a start. */
	wantsAll: z.boolean().default(false),
	/** Marks updates sent between rounds; the answer then also has only updates. */
	urgent: z.boolean().default(false),
	members: z.array(memberEntrySchema).max(maximumItems),
	/** Heartbeats of incarnations whose entries the receiver probably has. */
	heartbeats: z.record(incarnationIdSchema, z.int().min(0)),
	suspicions: z.array(suspicionSchema).max(maximumItems),
	drainMarks: z.array(drainMarkSchema).max(maximumItems),
	poisonSuspects: z.array(suspectSchema).max(maximumItems),
});

export type GossipDigest = z.infer<typeof gossipDigestSchema>;
