/** Computes medians over repeats, field by field. */

export function median(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/** Returns the median of each number in objects of the same shape. A flag is set if it is set in any of them. */
export function medianOfFields<T extends Record<string, unknown>>(all: readonly T[]): T {
	const entries = Object.entries(all[0]!).map(([key, first]: [string, unknown]) => {
		const values = all.map(one => (one as Record<string, unknown>)[key]);
		if (typeof first === 'number') {
			return [key, median(values as number[])];
		}

		return [key, typeof first === 'boolean' ? values.some(Boolean) : medianOfFields(values as Array<Record<string, unknown>>)];
	});
	return Object.fromEntries(entries) as T;
}
