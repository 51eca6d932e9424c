/** Status of another entry instance, as seen by the answering one. */
import {availabilityZoneIdSchema, incarnationIdSchema, instanceIdSchema} from '@cairnbank/core';
import {z} from 'zod';

export const memberStatusSchema = z.object({
	id: instanceIdSchema,
	incarnation: incarnationIdSchema,
	availabilityZone: availabilityZoneIdSchema,
	state: z.enum(['starting', 'live', 'suspected', 'leaving']),
	/** Offset of the last accepted change, as last received from the instance. */
	acceptedOffset: z.int().min(0),
});

export type MemberStatus = z.infer<typeof memberStatusSchema>;
