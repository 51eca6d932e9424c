/** The length that an answer's head announces. */
import type {RawHeaders} from '@cairnbank/core/outcomes';

/** @returns the header's value as it came, if there is one */
export function contentLengthOf(headers: RawHeaders): string | undefined {
	const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-length');
	return index === -1 ? undefined : headers[index + 1];
}
