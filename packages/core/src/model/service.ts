/** A service and its upstreams. */
import {z} from 'zod';
import {serviceIdSchema} from './ids.js';
import {upstreamSchema} from './upstream.js';

const maximumUpstreamsPerService = 2000;

export const serviceSchema = z.strictObject({
	id: serviceIdSchema,
	upstreams: z.array(upstreamSchema).max(maximumUpstreamsPerService),
});

export type Service = z.infer<typeof serviceSchema>;
