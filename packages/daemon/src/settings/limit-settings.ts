/** Bounds on what one daemon holds in memory. Past a bound the answer is a clear "not run". */
import {z} from 'zod';

const kibibyte = 1024;
const mebibyte = kibibyte * kibibyte;

export const limitSettingsSchema = z.strictObject({
	/** Largest request body. */
	requestBodyBytes: z.int().min(0).default(mebibyte),
	/** Largest header block of a request. */
	requestHeaderBytes: z.int().min(kibibyte).default(16 * kibibyte),
	/** An answer up to this size is held whole before its first byte goes to the caller; a larger one is streamed. */
	heldAnswerBytes: z.int().min(0).default(256 * kibibyte),
	/** All request bodies and answers that are held for calls under way. */
	heldTotalBytes: z.int().min(mebibyte).default(64 * mebibyte),
	/** Calls under way at one time. */
	requestsInFlight: z.int().min(1).default(10_000),
	/** Connections of callers. */
	callerConnections: z.int().min(1).default(10_000),
	/** Tickets that are issued and neither used up nor expired. */
	tickets: z.int().min(1).default(100_000),
	/** Idempotency keys that are remembered. */
	idempotencyKeys: z.int().min(1).default(100_000),
	/** Answers that are kept for resends of non-idempotent calls. */
	keptAnswersBytes: z.int().min(0).default(32 * mebibyte),
	/** Request fingerprints that are remembered as suspected of crashing upstreams. */
	poisonSuspects: z.int().min(1).default(10_000),
});

export type LimitSettings = z.infer<typeof limitSettingsSchema>;
