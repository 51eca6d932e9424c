/** Renders plain-text tables. */
import Table from 'cli-table3';

const plainBorders = {
	top: '', 'top-mid': '', 'top-left': '', 'top-right': '',
	bottom: '', 'bottom-mid': '', 'bottom-left': '', 'bottom-right': '',
	left: '', 'left-mid': '', mid: '', 'mid-mid': '', right: '', 'right-mid': '',
	middle: '  ',
};

/** Renders a header and rows as aligned columns, without borders or colours. */
export function renderTable(head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const table = new Table({
		head: [...head],
		chars: plainBorders,
		style: {
			'padding-left': 0, 'padding-right': 0, head: [], border: [],
		},
	});
	table.push(...rows.map(row => row.map(String)));
	return table.toString().split('\n').map(line => line.trimEnd()).join('\n');
}
