/** Status of an upstream, as seen by the answering instance. */
import {
	addressSchema, availabilityZoneIdSchema, serviceIdSchema, upstreamIdSchema,
} from '@cairnbank/core';
import {z} from 'zod';

export const upstreamStatusSchema = z.object({
	id: upstreamIdSchema,
	service: serviceIdSchema,
	address: addressSchema,
	availabilityZone: availabilityZoneIdSchema,
	state: z.enum(['ready', 'draining', 'ejected']),
	slots: z.int().min(1),
	/** Requests from the answering instance that are in flight at the upstream. */
	inFlight: z.int().min(0),
	/** Ratio of its slots in use according to its last load report; absent before the first. */
	utilizationRatio: z.number().min(0).optional(),
	/** Age of the last load report. */
	reportAgeMs: z.number().min(0).optional(),
});

export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
