/** What one load generator process is told to send, and what it tells afterwards. */
import type {CallClass} from './workload.js';
import type {RateStep} from './scenario.js';

export type LoadTarget = {
	/** `IP:port` of an entry instance. */
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
	/** Callers that each use one instance for a while. */
	readonly callers: number;
	readonly keepAddressMs: number;
};

export type ClassCounts = {
	sent: number;
	answered: number;
	/** Answered whole with success within the class's deadline. */
	good: number;
	failed: number;
	notRun: number;
	unknown: number;
	cut: number;
};

export type ClassReport = ClassCounts & {
	readonly id: string;
	/** Latency of whole, successful answers from the moment the call was due, in microseconds; an encoded histogram. */
	readonly latency: string;
};

export type LoadReport = {
	readonly classes: readonly ClassReport[];
	/** How late calls were sent, in microseconds; an encoded histogram. */
	readonly lag: string;
	/** Share of one core that the generator used. */
	readonly cpuRatio: number;
};
