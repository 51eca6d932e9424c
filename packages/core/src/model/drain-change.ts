/** An operator's change that stops an upstream from receiving new requests, or lets it receive them again. */
import {z} from 'zod';
import {upstreamIdSchema} from './ids.js';

export const drainChangeSchema = z.strictObject({
	kind: z.literal('drain'),
	upstream: upstreamIdSchema,
	draining: z.boolean(),
});

export type DrainChange = z.infer<typeof drainChangeSchema>;
