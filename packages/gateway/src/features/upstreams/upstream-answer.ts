/** The answer of an upstream, as everything behind the connection that read it may rely on it. */
import {err, ok, type Result} from 'neverthrow';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

export type AnswerParts = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};

declare const isChecked: unique symbol;

/** An answer that can be written to a caller byte for byte. {@link createAnswer} alone creates it. */
export type UpstreamAnswer = AnswerParts & {readonly [isChecked]: true};

/** Statuses of answers that have no body, whatever their headers say. */
export const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);
const firstFinalStatus = 200;
const lastStatus = 599;
const tokenPattern = /^[\w!#$%&'*+.^`|~-]+$/;
/** Characters that RFC 9110 forbids in header values; bytes above 127 are allowed. */
const forbiddenInValue = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** @returns the reason why the parts are not a valid final answer, if they are not */
export function createAnswer(parts: AnswerParts): Result<UpstreamAnswer, string> {
	const {status, headers} = parts;
	if (!Number.isInteger(status) || status < firstFinalStatus || status > lastStatus) {
		return err('invalid status');
	}

	if (headers.length % 2 !== 0) {
		return err('header without a value');
	}

	for (let index = 0; index < headers.length; index += 2) {
		if (!tokenPattern.test(headers[index]!)) {
			return err('invalid header name');
		}

		if (forbiddenInValue.test(headers[index + 1]!)) {
			return err('invalid header value');
		}
	}

	return ok(parts as UpstreamAnswer);
}
