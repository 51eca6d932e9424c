/** When a claim counts, measured on the log's own clock so that every reader agrees. */

export type ClaimWindow = {
	/** How long after a key was minted a claim of it may be appended. */
	readonly openMs: number;
	/** How far the clocks of callers, instances and the log may differ. */
	readonly clockSkewMs: number;
};
