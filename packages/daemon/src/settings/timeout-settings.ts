/** How long a daemon waits, and how long its promises hold. */
import {z} from 'zod';

export const timeoutSettingsSchema = z.strictObject({
	/** Opening a connection to an upstream. */
	upstreamConnectMs: z.int().min(1).max(60_000).default(250),
	/** Idle time after which a connection to an upstream is closed. */
	upstreamKeepAliveMs: z.int().min(100).max(600_000).default(30_000),
	/** Idle time after which a caller's connection is closed. */
	callerKeepAliveMs: z.int().min(100).max(600_000).default(60_000),
	/** A request's headers and body must have arrived by then. */
	requestReadMs: z.int().min(100).max(600_000).default(10_000),
	/** One call between daemons. */
	peerCallMs: z.int().min(10).max(60_000).default(1000),
	/** How long callers may keep an address answer. */
	addressTimeToLiveMs: z.int().min(100).max(600_000).default(5000),
	/** How long an unused ticket holds. */
	ticketTimeToLiveMs: z.int().min(1000).max(3_600_000).default(30_000),
	/** How long the answer to a non-idempotent call is kept for resends. */
	keptAnswerMs: z.int().min(0).max(3_600_000).default(60_000),
	/** Longest planned stop; it ends earlier once nothing is in flight and no caller may still come. */
	gracefulStopMs: z.int().min(100).max(3_600_000).default(60_000),
});

export type TimeoutSettings = z.infer<typeof timeoutSettingsSchema>;
