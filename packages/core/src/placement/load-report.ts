/** Load that an upstream reports with an answer. */
export type LoadReport = {
	/** Requests that are running now. */
	readonly running: number;
	/** Requests in its queue. */
	readonly waiting: number;
	/** Greatest number of requests that can run at the same time. */
	readonly slots: number;
	/** Ratio of the current processing time to the usual one; 1 means usual speed. */
	readonly slowness: number;
};
