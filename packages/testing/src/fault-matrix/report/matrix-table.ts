/** The table of fault by step: what callers were told and how often the request ran. */
import Table from 'cli-table3';
import type {CellResult} from '../cells/cell.js';
import {faults, type Fault} from '../cells/faults.js';
import {reasonImpossible} from '../cells/impossible-cells.js';
import {stepsOfLife, type StepOfLife} from '../cells/steps-of-life.js';

const impossibleMark = '–';
const notProvedMark = 'not proved';

function runsText(cells: readonly CellResult[]): string {
	const runs = cells.map(cell => cell.runs);
	const least = Math.min(...runs);
	const most = Math.max(...runs);
	return least === most ? `${most}` : `${least}…${most}`;
}

/** Text of one cell, such as `answered|unknown ×1`. */
export function cellText(cells: readonly CellResult[]): string {
	const told = [...new Set(cells.flatMap(cell => cell.told))].sort();
	const verdict = cells.every(cell => cell.passed) ? '' : 'FAILED ';
	return `${verdict}${told.join('\n')}\n×${runsText(cells)}`;
}

function oneCell(fault: Fault, step: StepOfLife, results: readonly CellResult[]): string {
	const cells = results.filter(cell => cell.fault === fault && cell.step === step && cell.secondFault === undefined);
	if (cells.length > 0) {
		return cellText(cells);
	}

	return reasonImpossible(fault, step) === undefined ? notProvedMark : impossibleMark;
}

export function matrixTable(results: readonly CellResult[]): string {
	const table = new Table({head: [String.raw`fault \ step`, ...stepsOfLife], style: {head: [], border: []}, wordWrap: true});
	for (const fault of faults) {
		table.push([fault, ...stepsOfLife.map(step => oneCell(fault, step, results))]);
	}

	return table.toString();
}
