/** What an upstream says of itself in its answers, for whoever would send it more. */

export type UpstreamAdvisory =
	/** It is about to stop: it takes no new requests from any instance until it starts anew. */
	| {readonly type: 'leaving'}
	/** It takes nothing from the instance that it answered, health checks included, for this long. */
	| {readonly type: 'back-off'; readonly durationMs: number};
