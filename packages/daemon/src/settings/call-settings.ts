/** Limits and timeouts of the calls that pass through a daemon. A call beyond a limit is answered as "not run". */
import {defaultPoisonSettings} from '@cairnbank/core/poison';
import {z} from 'zod';

const kibibyte = 1024;
const mebibyte = kibibyte * kibibyte;

export const callSettingsSchema = z.strictObject({
	/** Maximum size of a request body. */
	maximumBodyBytes: z.int().min(0).default(mebibyte),
	/** Maximum size of the headers of a request. */
	maximumHeaderBytes: z.int().min(kibibyte).default(16 * kibibyte),
	/** Maximum memory of the requests that are held at a time: connections, heads and bodies. */
	heldRequestsTotalBytes: z.int().min(mebibyte).default(64 * mebibyte),
	/** Answers up to this size are buffered completely before their first byte is sent. Larger ones are streamed. */
	heldAnswerBytes: z.int().min(0).default(mebibyte),
	/** Maximum total size of the answers that are buffered at a time for calls in flight. */
	heldAnswersTotalBytes: z.int().min(mebibyte).default(64 * mebibyte),
	/** Maximum number of calls in flight at a time. */
	maximumInFlight: z.int().min(1).default(10_000),
	/** Maximum number of open connections of callers. */
	maximumConnections: z.int().min(1).default(10_000),
	/** Maximum number of requests stored as suspected of crashing upstreams. The least suspicious are dropped first. */
	maximumSuspects: z.int().min(1).default(defaultPoisonSettings.maximumSuspects),
	/** Idle time after which a caller's connection is closed. */
	keepAliveTimeoutMs: z.int().min(0).max(600_000).default(60_000),
	/** Timeout for receiving the headers and the body of a request. */
	readTimeoutMs: z.int().min(100).max(600_000).default(10_000),
});

export type CallSettings = z.infer<typeof callSettingsSchema>;
