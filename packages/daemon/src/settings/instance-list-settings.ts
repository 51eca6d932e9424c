/** Settings for reading the platform's list of live and leaving instances. */
import {z} from 'zod';
import {httpUrlSchema} from './http-url.js';

export const instanceListSettingsSchema = z.strictObject({
	url: httpUrlSchema,
	pollIntervalMs: z.int().min(50).max(600_000).default(1000),
	timeoutMs: z.int().min(10).max(60_000).default(2000),
});

export type InstanceListSettings = z.infer<typeof instanceListSettingsSchema>;
