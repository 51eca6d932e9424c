/** Result of one scenario for a cell of the matrix. */
import type {Fault} from './faults.js';
import type {RequestStep} from './request-steps.js';

export type CellResult = {
	readonly fault: Fault;
	/** The second simultaneous fault, in scenarios about pairs of faults. */
	readonly secondFault?: Fault;
	readonly step: RequestStep;
	readonly scenario: string;
	readonly passed: boolean;
	/** Distinct outcomes that callers got, such as `answered` or `unknown`. */
	readonly outcomes: readonly string[];
	/** Greatest number of runs of a single request, as the upstream stand-ins counted them. */
	readonly runs: number;
};
