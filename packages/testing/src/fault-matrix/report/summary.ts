/** Computes the JSON summary: how many cells passed, cannot occur, or have no passing scenario. */
import type {CellResult} from '../cells/cell-result.js';
import {faults} from '../cells/faults.js';
import {reasonImpossible} from '../cells/impossible-cells.js';
import {requestSteps} from '../cells/request-steps.js';

export type Summary = {
	readonly passed: number;
	readonly failed: number;
	readonly cells: number;
	readonly cellsProved: number;
	readonly cellsImpossible: number;
	readonly cellsNotProved: readonly string[];
	readonly pairs: number;
};

export function summarize(counts: {passed: number; failed: number}, results: readonly CellResult[]): Summary {
	const singleFaultResults = results.filter(cell => cell.secondFault === undefined);
	const all = faults.flatMap(fault => requestSteps.map(step => ({fault, step})));
	const proved = all.filter(({fault, step}) => singleFaultResults.some(cell => cell.fault === fault && cell.step === step && cell.passed));
	const impossible = all.filter(({fault, step}) => !proved.some(cell => cell.fault === fault && cell.step === step) && reasonImpossible(fault, step) !== undefined);
	const settled = new Set([...proved, ...impossible]);
	return {
		...counts,
		cells: all.length,
		cellsProved: proved.length,
		cellsImpossible: impossible.length,
		cellsNotProved: all.filter(cell => !settled.has(cell)).map(({fault, step}) => `${fault} at ${step}`),
		pairs: results.length - singleFaultResults.length,
	};
}
