/** Formats the table of faults and steps, with the outcomes that callers got and how often the request ran. */
import Table from 'cli-table3';
import type {CellResult} from '../cells/cell-result.js';
import {faults, type Fault} from '../cells/faults.js';
import {reasonImpossible} from '../cells/impossible-cells.js';
import {requestSteps, type RequestStep} from '../cells/request-steps.js';

const impossibleText = '–';
const notProvedText = 'not proved';

function formatRuns(cells: readonly CellResult[]): string {
	const runs = cells.map(cell => cell.runs);
	const minimum = Math.min(...runs);
	const maximum = Math.max(...runs);
	return minimum === maximum ? `${maximum}` : `${minimum}…${maximum}`;
}

/** Formats one cell: the outcomes, a line each, then the number of runs, such as `×1`. */
export function formatResults(cells: readonly CellResult[]): string {
	const outcomes = [...new Set(cells.flatMap(cell => cell.outcomes))].sort();
	const failedPrefix = cells.every(cell => cell.passed) ? '' : 'FAILED ';
	return `${failedPrefix}${outcomes.join('\n')}\n×${formatRuns(cells)}`;
}

function formatCell(fault: Fault, step: RequestStep, results: readonly CellResult[]): string {
	const cells = results.filter(cell => cell.fault === fault && cell.step === step && cell.secondFault === undefined);
	if (cells.length > 0) {
		return formatResults(cells);
	}

	return reasonImpossible(fault, step) === undefined ? notProvedText : impossibleText;
}

export function formatMatrixTable(results: readonly CellResult[]): string {
	const table = new Table({head: [String.raw`fault \ step`, ...requestSteps], style: {head: [], border: []}, wordWrap: true});
	for (const fault of faults) {
		table.push([fault, ...requestSteps.map(step => formatCell(fault, step, results))]);
	}

	return table.toString();
}
