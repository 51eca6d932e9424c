/** The job and the report of a load generator process. */
import type {CallClass} from './workload.js';
import type {RateStep} from './scenario.js';

export type LoadTarget = {
	/** `IP:port` of an instance. */
	readonly address: string;
	readonly availabilityZone: string;
};

export type LoadClass = CallClass & {
	readonly callsPerSecond: number;
};

export type LoadJob = {
	readonly seed: number;
	readonly warmUpMs: number;
	readonly measuredMs: number;
	readonly serviceMs: number;
	readonly targets: readonly LoadTarget[];
	readonly classes: readonly LoadClass[];
	readonly rate: readonly RateStep[];
	/** Number of callers, each of which uses one instance for `keepAddressMs`. */
	readonly callers: number;
	readonly keepAddressMs: number;
};

export type ClassCounts = {
	sent: number;
	answered: number;
	/** Answered completely and successfully within the class's deadline. */
	good: number;
	failed: number;
	notRun: number;
	unknown: number;
	cut: number;
};

export type ClassReport = ClassCounts & {
	readonly id: string;
	/** Encoded histogram in microseconds: latency of complete, successful answers from the moment the call was due. */
	readonly latency: string;
};

export type LoadReport = {
	readonly classes: readonly ClassReport[];
	/** Encoded histogram in microseconds: how late calls were sent. */
	readonly lag: string;
	/** Share of one core that the generator used. */
	readonly cpuRatio: number;
};
