/** Load that an upstream reports, in an answer to a request or to a probe. */

export type LoadReport = {
	/** Requests that the upstream was running or queueing at the time of the report. */
	readonly inFlight: number;
	/** Share of its capacity in use, if reported; above 1 the upstream queues requests. */
	readonly utilizationRatio?: number;
};
