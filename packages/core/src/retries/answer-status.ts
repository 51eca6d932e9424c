/** Classifies the statuses of answers by which an upstream reports a failure of its own, so that another upstream may succeed. */

/** Internal error (an upstream that fails fast), bad gateway, service unavailable, gateway timeout. */
const failingStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/**
 * Returns whether a complete answer reports a failure of the upstream and not of the request.
 * @param statusCode HTTP status of the answer.
 */
export function isFailingStatus(statusCode: number): boolean {
	return failingStatuses.has(statusCode);
}
