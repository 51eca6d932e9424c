/** Reads an upstream's `Retry-After`. */

const millisecondsPerSecond = 1000;
const wholeSeconds = /^\d{1,6}$/;

/**
 * @param value The header, if the answer had it.
 * @returns Milliseconds; nothing where it is absent, or a date, as clocks need not agree.
 */
export function parseRetryAfterMs(value: string | string[] | undefined): number | undefined {
	return typeof value === 'string' && wholeSeconds.test(value) ? Number(value) * millisecondsPerSecond : undefined;
}
