/** The job and the report of a load process of the added-latency bench. */

export type AddedLatencyJob = {
	readonly origin: string;
	readonly path: string;
	readonly warmUpMs: number;
	readonly measuredMs: number;
} & (
	/** Open loop at a fixed rate, whatever the latency. */
	| {readonly type: 'fixed-rate'; readonly callsPerSecond: number; readonly seed: number}
	/** Closed loop with a constant number of calls in flight. */
	| {readonly type: 'highest-rate'; readonly inFlight: number}
);

export type AddedLatencyReport = {
	readonly answered: number;
	readonly failed: number;
	readonly callsPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly cpuRatio: number;
};
