/** Formats the results of the scenarios with two simultaneous faults. */
import Table from 'cli-table3';
import type {CellResult} from '../cells/cell-result.js';

export function formatPairsTable(results: readonly CellResult[]): string {
	const table = new Table({head: ['fault', 'and', 'step', 'told', 'runs', 'passed'], style: {head: [], border: []}});
	for (const cell of results) {
		if (cell.secondFault !== undefined) {
			table.push([cell.fault, cell.secondFault, cell.step, cell.outcomes.join(', '), cell.runs, cell.passed ? 'yes' : 'NO']);
		}
	}

	return table.toString();
}
