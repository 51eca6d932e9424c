/** What an upstream stand-in is: its name, place, slots and usual service time. */
import {z} from 'zod';

export const upstreamOptionsSchema = z.strictObject({
	id: z.string().default('upstream'),
	availabilityZone: z.string().default('zone-a'),
	port: z.int().min(0).default(0),
	controlPort: z.int().min(0).default(0),
	slots: z.int().min(1).default(3),
	/** Requests that wait for a slot; beyond it the answer is an explicit shed. */
	queueLength: z.int().min(0).default(30),
	/** Mean service time: half of it fixed, half exponential. A request's `x-service-ms` goes before it. */
	serviceMs: z.number().min(0).default(5),
	/** Slot time that one probe takes. */
	probeCostMs: z.number().min(0).default(6),
	/** One-way delay for requests whose `x-entry-zone` names another availability zone. */
	zoneDelayMs: z.number().min(0).default(0),
	seed: z.int().default(1),
});

export type UpstreamOptions = z.infer<typeof upstreamOptionsSchema>;
export type UpstreamOptionsInput = z.input<typeof upstreamOptionsSchema>;
