/** Medians and extremes of a few runs. */

export type Spread = {
	readonly median: number;
	readonly least: number;
	readonly greatest: number;
};

export function spreadOf(values: readonly number[]): Spread {
	const sorted = [...values].sort((a, b) => a - b);
	return {median: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN, least: sorted[0] ?? Number.NaN, greatest: sorted.at(-1) ?? Number.NaN};
}

export function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
