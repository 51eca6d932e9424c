/** The table of fault by step: what callers were told and how often the request ran. */
import Table from 'cli-table3';
import type {CellResult} from '../cells/cell-result.js';
import {faults, type Fault} from '../cells/faults.js';
import {reasonImpossible} from '../cells/impossible-cells.js';
import {requestSteps, type RequestStep} from '../cells/request-steps.js';

const impossibleText = '–';
const notProvedText = 'not proved';

function formatRuns(cells: readonly CellResult[]): string {
	const runs = cells.map(cell => cell.runs);
	const least = Math.min(...runs);
	const most = Math.max(...runs);
	return least === most ? `${most}` : `${least}…${most}`;
}

/** Text of one cell, such as `answered|unknown ×1`. */
export function formatResults(cells: readonly CellResult[]): string {
	const outcomes = [...new Set(cells.flatMap(cell => cell.outcomes))].sort();
	const verdict = cells.every(cell => cell.passed) ? '' : 'FAILED ';
	return `${verdict}${outcomes.join('\n')}\n×${formatRuns(cells)}`;
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
