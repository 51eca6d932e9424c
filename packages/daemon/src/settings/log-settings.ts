/** The platform's append-only log and the streams that the daemons keep there. */
import {configurationStream} from '@cairnbank/core/configuration';
import {z} from 'zod';
import {httpUrlSchema} from './http-url.js';

const streamNameSchema = z.string().regex(/^[\w.-]{1,64}$/, 'use letters, digits, "_", "." and "-"');

export const logSettingsSchema = z.strictObject({
	url: httpUrlSchema,
	/** Inventory, rules, drains and their snapshots; another one starts the configuration over. */
	configurationStream: streamNameSchema.default(configurationStream),
	/** Claims on idempotency keys. */
	claimsStream: streamNameSchema.default('claims'),
	/** Longest wait for the answer to an append, or to a read beyond its own wait. */
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	/** How long one read waits for new records. A read that the log lost is given up this much after `timeoutMs`. */
	pollWaitMs: z.int().min(0).max(60_000).default(2000),
	/** How long the log keeps a record; snapshots are written well before. */
	retentionMs: z.int().min(1000).default(86_400_000),
});

export type LogSettings = z.infer<typeof logSettingsSchema>;
