/** Notice in an upstream's answer about whether it accepts further requests. */

export type UpstreamAdvisory =
	/** It is about to stop and accepts no new requests from any instance until it has restarted. */
	| {readonly type: 'leaving'}
	/** It accepts nothing from the instance that it answered, including health checks, for this duration. */
	| {readonly type: 'back-off'; readonly durationMs: number};
