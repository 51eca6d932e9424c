/** Bounds of the tables that keep a non-idempotent request from running twice. */
import {z} from 'zod';

const mebibyte = 1_048_576;

export const atMostOnceSettingsSchema = z.strictObject({
	/** Tickets that are remembered at one time. */
	maximumTickets: z.int().min(1).default(100_000),
	/** How long an unused ticket holds. */
	ticketTtlMs: z.int().min(1000).max(3_600_000).default(30_000),
	/** Idempotency keys that are remembered at one time. */
	maximumKeys: z.int().min(1).default(100_000),
	/** How long after its mint time a key may be claimed, on the log's clock. */
	claimWindowMs: z.int().min(1000).max(3_600_000).default(60_000),
	/** How far the clocks of callers, instances and the log may differ. */
	clockSkewMs: z.int().min(0).max(600_000).default(2000),
	/** Longest wait for the proof of a claim. */
	claimWaitMs: z.int().min(1).max(60_000).default(2000),
	/** All answers that are kept for resends. */
	keptAnswersTotalBytes: z.int().min(0).default(32 * mebibyte),
	/** How long an answer is kept for resends. */
	keptAnswerMs: z.int().min(0).max(3_600_000).default(60_000),
});

export type AtMostOnceSettings = z.infer<typeof atMostOnceSettingsSchema>;
