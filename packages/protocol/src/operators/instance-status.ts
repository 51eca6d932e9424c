/** Status of an entry instance, with its view of members and upstreams. */
import {
	addressSchema, availabilityZoneIdSchema, incarnationIdSchema, instanceIdSchema,
} from '@cairnbank/core';
import {z} from 'zod';
import {changeStatusSchema} from './change-status.js';
import {configurationStatusSchema} from './configuration-status.js';
import {memberStatusSchema} from './member-status.js';
import {upstreamStatusSchema} from './upstream-status.js';

export const instanceStatusSchema = z.object({
	id: instanceIdSchema,
	incarnation: incarnationIdSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** `starting` until a configuration is in force. */
	state: z.enum(['starting', 'ready', 'leaving']),
	/** Address at which callers reach it; absent until its port is open. */
	callersAddress: addressSchema.optional(),
	uptimeMs: z.number().min(0),
	configuration: configurationStatusSchema,
	members: z.array(memberStatusSchema),
	upstreams: z.array(upstreamStatusSchema),
	/** Oldest first. */
	recentChanges: z.array(changeStatusSchema),
});

export type InstanceStatus = z.infer<typeof instanceStatusSchema>;
