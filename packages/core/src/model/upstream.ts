/** One server of a service, as described in the operators' asset register. */
import {z} from 'zod';
import {addressSchema} from './address.js';
import {availabilityZoneIdSchema, upstreamIdSchema} from './ids.js';

export const upstreamSchema = z.strictObject({
	id: upstreamIdSchema,
	address: addressSchema,
	availabilityZone: availabilityZoneIdSchema,
	/** Maximum number of requests that the upstream runs at the same time. */
	slots: z.int().min(1).max(10_000),
	/** Maximum number of connections that the upstream accepts from all instances together. */
	connections: z.int().min(1).max(100_000),
});

export type Upstream = z.infer<typeof upstreamSchema>;
