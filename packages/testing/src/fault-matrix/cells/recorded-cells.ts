/** Collects the cell results of all feature files in one run. */
import type {CellResult} from './cell-result.js';

const results: CellResult[] = [];

export function recordCell(result: CellResult): void {
	results.push(result);
}

export function recordedCells(): readonly CellResult[] {
	return results;
}
