/** The decision whether a request that may crash upstreams is sent. */
export type PoisonDecision =
	/** The request is not suspected. */
	| {readonly type: 'run'}
	/** The request is suspected after a crash: run it as the only suspect at its upstream, and notify the peers first. */
	| {readonly type: 'trial'}
	/** A trial of the same request is in progress: wait for its end, at most `waitMs`, and decide again. */
	| {readonly type: 'await-trial'; readonly waitMs: number}
	/** The request was in flight at too many crashes: refuse it; the caller may retry after `retryAfterMs`. */
	| {readonly type: 'refuse'; readonly retryAfterMs: number};
