/** What two daemons tell each other in one exchange. */
import {z} from 'zod';
import {incarnationIdSchema} from '../model/ids.js';
import {suspectSchema} from '../poison/suspect.js';
import {drainMarkSchema} from './drain-mark.js';
import {memberEntrySchema} from './member-entry.js';
import {suspicionSchema} from './suspicion.js';

const maximumItems = 5000;

export const gossipDigestSchema = z.object({
	/** The sender, as it is now. */
	self: memberEntrySchema,
	/** Asks for everything that the receiver knows; sent by a process that has just started. */
	wantsAll: z.boolean().default(false),
	/** News that does not wait for the next round; the answer is as short. */
	urgent: z.boolean().default(false),
	members: z.array(memberEntrySchema).max(maximumItems),
	/** Heartbeats of incarnations whose entries the receiver is likely to hold. */
	heartbeats: z.record(incarnationIdSchema, z.int().min(0)),
	suspicions: z.array(suspicionSchema).max(maximumItems),
	drainMarks: z.array(drainMarkSchema).max(maximumItems),
	poisonSuspects: z.array(suspectSchema).max(maximumItems),
});

export type GossipDigest = z.infer<typeof gossipDigestSchema>;
