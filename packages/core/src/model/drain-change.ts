/** An operator's order to take an upstream out of new work, or to bring it back. */
import {z} from 'zod';
import {upstreamIdSchema} from './ids.js';

export const drainChangeSchema = z.strictObject({
	kind: z.literal('drain'),
	upstream: upstreamIdSchema,
	draining: z.boolean(),
});

export type DrainChange = z.infer<typeof drainChangeSchema>;
