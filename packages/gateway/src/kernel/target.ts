/** Reads the targets of requests. Any bytes may arrive, and `URL` throws on some of them, such as `//`. */

/** Returns the path of a target, without its query. */
export function pathOf(target: string): string {
	return target.split('?', 1)[0]!;
}

/** Returns the query of a target; empty if it has none. */
export function queryOf(target: string): URLSearchParams {
	const separator = target.indexOf('?');
	return new URLSearchParams(separator === -1 ? '' : target.slice(separator + 1));
}
