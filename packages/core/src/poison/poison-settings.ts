/** Limits for the detection of requests that crash upstreams. */

export type PoisonSettings = {
	/** Number of counted crashes after which a request is refused. */
	readonly crashesBeforeRefusal: number;
	/** Time for which the request is refused after its last crash. */
	readonly refusalMs: number;
	/** Time for which a suspect is kept after its last crash. Another crash within this time leads to its refusal again. */
	readonly suspectRetentionMs: number;
	/** Time after which a trial that has not ended is considered lost, regardless of the deadline of its request. */
	readonly maximumTrialMs: number;
	/** Maximum number of suspects that are kept. The least suspicious ones are evicted first. */
	readonly maximumSuspects: number;
};

export const defaultPoisonSettings: PoisonSettings = {
	crashesBeforeRefusal: 2,
	refusalMs: 60_000,
	suspectRetentionMs: 600_000,
	maximumTrialMs: 30_000,
	maximumSuspects: 512,
};
