/** Reads the content length of an answer from its headers. */
import type {RawHeaders} from '@cairnbank/core/outcomes';

/** @returns the unparsed value of the header, or undefined if it is absent */
export function contentLengthOf(headers: RawHeaders): string | undefined {
	const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-length');
	return index === -1 ? undefined : headers[index + 1];
}
