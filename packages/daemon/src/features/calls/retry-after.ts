/** Parses the `Retry-After` header of an upstream. */

const millisecondsPerSecond = 1000;
const wholeSeconds = /^\d{1,6}$/;

/**
 * @param value Value of the header, if the answer has it.
 * @returns Milliseconds; undefined if the header is absent or contains a date, because the clocks of the two hosts may differ.
 */
export function parseRetryAfterMs(value: string | string[] | undefined): number | undefined {
	return typeof value === 'string' && wholeSeconds.test(value) ? Number(value) * millisecondsPerSecond : undefined;
}
