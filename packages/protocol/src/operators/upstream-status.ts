/** One upstream, as the answering instance sees it. */
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
	/** Requests that this instance has in flight there. */
	inFlight: z.int().min(0),
	/** Share of its slots in use by its last report, if one came. */
	utilizationRatio: z.number().min(0).optional(),
	/** Age of that report. */
	reportAgeMs: z.number().min(0).optional(),
});

export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
