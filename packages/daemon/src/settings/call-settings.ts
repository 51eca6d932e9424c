/** Bounds and waits of the calls that pass through a daemon. Past a bound the answer is a clear "not run". */
import {defaultPoisonSettings} from '@cairnbank/core/poison';
import {z} from 'zod';

const kibibyte = 1024;
const mebibyte = kibibyte * kibibyte;

export const callSettingsSchema = z.strictObject({
	/** Largest request body. */
	maximumBodyBytes: z.int().min(0).default(mebibyte),
	/** Largest header block of a request. */
	maximumHeaderBytes: z.int().min(kibibyte).default(16 * kibibyte),
	/** Answers up to this size are held whole before their first byte goes out; larger ones are streamed. */
	heldAnswerBytes: z.int().min(0).default(mebibyte),
	/** All answers that are held at one time for calls under way. */
	heldAnswersTotalBytes: z.int().min(mebibyte).default(64 * mebibyte),
	/** Calls under way at one time. */
	maximumInFlight: z.int().min(1).default(10_000),
	/** Connections of callers at one time. */
	maximumConnections: z.int().min(1).default(10_000),
	/** Requests remembered as suspected of crashing upstreams; the least suspicious are dropped first. */
	maximumSuspects: z.int().min(1).default(defaultPoisonSettings.maximumSuspects),
	/** Idle time after which a caller's connection is closed. */
	keepAliveTimeoutMs: z.int().min(0).max(600_000).default(60_000),
	/** Time within which a request's headers and body must arrive. */
	readTimeoutMs: z.int().min(100).max(600_000).default(10_000),
});

export type CallSettings = z.infer<typeof callSettingsSchema>;
