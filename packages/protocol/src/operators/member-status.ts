/** Another entry instance, as the answering one sees it. */
import {availabilityZoneIdSchema, incarnationIdSchema, instanceIdSchema} from '@cairnbank/core';
import {z} from 'zod';

export const memberStatusSchema = z.object({
	id: instanceIdSchema,
	incarnation: incarnationIdSchema,
	availabilityZone: availabilityZoneIdSchema,
	state: z.enum(['starting', 'live', 'suspected', 'leaving']),
	/** Last accepted offset that it told of. */
	acceptedOffset: z.int().min(0),
});

export type MemberStatus = z.infer<typeof memberStatusSchema>;
