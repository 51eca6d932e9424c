/** Formats the table of cells that cannot occur, with the reasons. */
import Table from 'cli-table3';
import {impossibleCells} from '../cells/impossible-cells.js';

export function formatImpossibleTable(): string {
	const table = new Table({head: ['fault', 'steps', 'why it cannot occur'], style: {head: [], border: []}});
	for (const cell of impossibleCells) {
		table.push([cell.fault, cell.steps.join(', '), cell.reason]);
	}

	return table.toString();
}
