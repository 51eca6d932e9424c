/** Bounds of the poison guard. */

export type PoisonSettings = {
	/** Crashes of distinct upstreams after which a request is refused. */
	readonly crashesBeforeRefusal: number;
	/** Time after the last crash for which it is refused. */
	readonly refusalMs: number;
	/** Time after the last crash for which it is remembered: one more crash refuses it again. */
	readonly suspectRetentionMs: number;
	/** Time after which a trial without an end is taken for lost, whatever its deadline. */
	readonly maximumTrialMs: number;
	/** Suspects kept; the least suspicious are dropped first. */
	readonly maximumSuspects: number;
};

export const defaultPoisonSettings: PoisonSettings = {
	crashesBeforeRefusal: 2,
	refusalMs: 60_000,
	suspectRetentionMs: 600_000,
	maximumTrialMs: 30_000,
	maximumSuspects: 512,
};
