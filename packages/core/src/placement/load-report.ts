/** What an upstream says of its load on an answer. */
export type LoadReport = {
	/** Requests that it runs now. */
	readonly running: number;
	/** Requests in its queue. */
	readonly waiting: number;
	/** Requests that it can run at the same time. */
	readonly slots: number;
	/** How long work takes there now, against the usual; 1 means as usual. */
	readonly slowness: number;
};
