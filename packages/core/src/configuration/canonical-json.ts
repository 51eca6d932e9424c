/** Canonical JSON: equal values have equal text and therefore equal hashes. */

function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

function withSortedKeys(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	const entries = Object.entries(value).sort(([left], [right]) => compareText(left, right));
	return Object.fromEntries(entries);
}

/** Serializes a JSON value without whitespace and with object keys in code unit order. */
export function canonicalJson(value: unknown): string {
	return JSON.stringify(value, withSortedKeys);
}
