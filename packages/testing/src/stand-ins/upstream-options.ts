/** Options of an upstream stand-in, which stay fixed while it runs. */
import {z} from 'zod';

export const upstreamOptionsSchema = z.strictObject({
	id: z.string().default('upstream'),
	availabilityZone: z.string().default('zone-a'),
	port: z.int().min(0).default(0),
	controlPort: z.int().min(0).default(0),
	slots: z.int().min(1).default(3),
	/** Maximum number of requests that wait for a slot; further ones are shed with an explicit answer. */
	queueLength: z.int().min(0).default(30),
	/** Mean service time: half of it fixed, half exponentially distributed. A request's `x-service-ms` header replaces it. */
	serviceMs: z.number().min(0).default(5),
	/** Slot time that a probe takes. */
	probeCostMs: z.number().min(0).default(6),
	/** One-way delay for requests whose `x-entry-zone` names another availability zone. */
	zoneDelayMs: z.number().min(0).default(0),
	seed: z.int().default(1),
});

export type UpstreamOptions = z.infer<typeof upstreamOptionsSchema>;
export type UpstreamOptionsInput = z.input<typeof upstreamOptionsSchema>;
