/** What a load process of the added-latency bench is told, and what it tells. */

export type PathJob = {
	readonly origin: string;
	readonly path: string;
	readonly warmUpMs: number;
	readonly measuredMs: number;
} & (
	/** Open loop at a fixed rate. */
	| {readonly type: 'fixed-rate'; readonly callsPerSecond: number; readonly seed: number}
	/** Closed loop: so many calls always in flight. */
	| {readonly type: 'highest-rate'; readonly inFlight: number}
);

export type PathReport = {
	readonly answered: number;
	readonly failed: number;
	readonly callsPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly cpuRatio: number;
};
