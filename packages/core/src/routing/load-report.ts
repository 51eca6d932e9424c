/** What an upstream says of its own load, on an answer or to a probe. */

export type LoadReport = {
	/** Requests that the upstream was running or holding when it made the report. */
	readonly inFlight: number;
	/** Share of its capacity in use, where it says so; above 1 it queues. */
	readonly utilizationRatio?: number;
};
