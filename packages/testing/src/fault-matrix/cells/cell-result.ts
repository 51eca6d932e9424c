/** One cell of the matrix as a scenario left it. */
import type {Fault} from './faults.js';
import type {RequestStep} from './request-steps.js';

export type CellResult = {
	readonly fault: Fault;
	/** A second fault at the same time, in the pairs. */
	readonly secondFault?: Fault;
	readonly step: RequestStep;
	readonly scenario: string;
	readonly passed: boolean;
	/** What callers were told, each kind once, such as `answered` or `unknown`. */
	readonly outcomes: readonly string[];
	/** Greatest number of runs of one request that the upstream stand-ins counted. */
	readonly runs: number;
};
