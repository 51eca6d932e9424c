/** One server of a service, as the operators' asset register describes it. */
import {z} from 'zod';
import {addressSchema} from './address.js';
import {availabilityZoneIdSchema, upstreamIdSchema} from './ids.js';

export const upstreamSchema = z.strictObject({
	id: upstreamIdSchema,
	address: addressSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** Requests that it runs at the same time. */
	slots: z.int().min(1).max(10_000),
	/** Connections that it accepts from all instances together. */
	connections: z.int().min(1).max(100_000),
});

export type Upstream = z.infer<typeof upstreamSchema>;
