/** Limits of the tables that prevent a non-idempotent request from running twice. */
import {z} from 'zod';

const mebibyte = 1_048_576;

export const atMostOnceSettingsSchema = z.strictObject({
	/** Maximum number of tickets that are stored at a time. */
	maximumTickets: z.int().min(1).default(100_000),
	/** Time for which an unused ticket is valid. */
	ticketTtlMs: z.int().min(1000).max(3_600_000).default(30_000),
	/** Maximum number of idempotency keys that are stored at a time. */
	maximumKeys: z.int().min(1).default(100_000),
	/** Time after its creation within which a key may be claimed, on the log's clock. */
	claimWindowMs: z.int().min(1000).max(3_600_000).default(60_000),
	/** Maximum difference between the clocks of callers, instances and the log. */
	clockSkewMs: z.int().min(0).max(600_000).default(2000),
	/** Maximum wait for the confirmation of a claim. */
	claimWaitMs: z.int().min(1).max(60_000).default(2000),
	/** Maximum total size of the answers that are kept for resends. */
	keptAnswersTotalBytes: z.int().min(0).default(32 * mebibyte),
	/** Time for which an answer is kept for resends. */
	keptAnswerMs: z.int().min(0).max(3_600_000).default(60_000),
});

export type AtMostOnceSettings = z.infer<typeof atMostOnceSettingsSchema>;
