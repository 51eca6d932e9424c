/** Collects what the scenarios found, across the feature files of one run. */
import type {CellResult} from './cell-result.js';

const results: CellResult[] = [];

export function recordCell(result: CellResult): void {
	results.push(result);
}

export function recordedCells(): readonly CellResult[] {
	return results;
}
