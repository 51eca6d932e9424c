/** What the poison guard says to a request before it is sent. */
export type PoisonDecision =
	/** Nothing is held against it. */
	| {readonly type: 'run'}
	/** It was in flight at one crash: run it alone, and tell the peers first. */
	| {readonly type: 'trial'}
	/** The same request is being tried: await its end, at most so long, and ask again. */
	| {readonly type: 'await-trial'; readonly waitMs: number}
	/** It crashed enough upstreams: not run, come back after the time. */
	| {readonly type: 'refuse'; readonly retryAfterMs: number};
