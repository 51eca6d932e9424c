/** HTTP header names between callers, daemons and upstreams, in lower case as Node.js gives them. */
export const headerNames = {
	/** Remaining time for the call, in whole milliseconds. */
	deadlineMs: 'cairnbank-deadline-ms',
	/** `not-run` or `unknown` on answers that the system itself made; upstreams send `not-run` when they shed. */
	outcome: 'cairnbank-outcome',
	/** Whose work the request is. */
	tenant: 'cairnbank-tenant',
	/** At-most-once ticket, from the address answer or the ticket endpoint. */
	ticket: 'cairnbank-ticket',
	/** Caller-minted key, a UUIDv7. */
	idempotencyKey: 'idempotency-key',
	/**
	 * Sends of this request before this one. A caller that sends it has at most one send open at a time, and may reuse
	 * a ticket or key after `not-run`.
	 */
	previousAttempts: 'cairnbank-previous-attempts',
	/** On an answer: layers above do not retry it. */
	noRetry: 'cairnbank-no-retry',
	/** An upstream's mark that it takes no new work. */
	draining: 'cairnbank-draining',
	/** An upstream's load report (ORCA). */
	loadReport: 'endpoint-load-metrics',
} as const;
