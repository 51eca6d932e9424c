/** Settings of the connections from a daemon to upstreams. */
import {z} from 'zod';

export const upstreamSettingsSchema = z.strictObject({
	/** Timeout for opening a connection. */
	connectTimeoutMs: z.int().min(1).max(60_000).default(250),
	/** Idle time after which a connection is closed. */
	keepAliveTimeoutMs: z.int().min(100).max(600_000).default(30_000),
});

export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>;
