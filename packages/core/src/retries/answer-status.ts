/** Which answers of an upstream are failures that another upstream may not share. */

/** Internal error (an upstream that fails fast), bad gateway, service unavailable, gateway timeout. */
const failingStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/**
 * Whether an upstream's whole answer speaks of the upstream's own trouble and not of the request.
 * @param statusCode HTTP status of the answer.
 */
export function isFailingStatus(statusCode: number): boolean {
	return failingStatuses.has(statusCode);
}
