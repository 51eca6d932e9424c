/** The time window in which a claim is valid. It is measured by the log's clock, so that all readers agree. */

export type ClaimWindow = {
	/** Time after the creation of a key during which a claim of it may be appended. */
	readonly lengthMs: number;
	/** Maximum difference between the clocks of callers, instances and the log. */
	readonly clockSkewMs: number;
};
