/** Settings of the platform's append-only log and the streams that the daemons store there. */
import {configurationStream} from '@cairnbank/core/configuration';
import {z} from 'zod';
import {httpUrlSchema} from './http-url.js';

const streamNameSchema = z.string().regex(/^[\w.-]{1,64}$/, 'use letters, digits, "_", "." and "-"');

export const logSettingsSchema = z.strictObject({
	url: httpUrlSchema,
	/** Stream of the inventory, rules, drains and their snapshots. With another stream the configuration starts empty. */
	configurationStream: streamNameSchema.default(configurationStream),
	/** Stream of the claims on idempotency keys. */
	claimsStream: streamNameSchema.default('claims'),
	/** Timeout of an append. A read times out this long after its own wait (`pollWaitMs`). */
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	/** Time that one read waits for new records. A read that the log does not answer is aborted after `timeoutMs` plus this time. */
	pollWaitMs: z.int().min(0).max(60_000).default(2000),
	/** Time for which the log keeps a record. Snapshots are written well before it ends. */
	retentionMs: z.int().min(1000).default(86_400_000),
});

export type LogSettings = z.infer<typeof logSettingsSchema>;
