/** The few statistics that the tables show. */

export function median(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? Number.NaN;
}
