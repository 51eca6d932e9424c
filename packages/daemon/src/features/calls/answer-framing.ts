/** Checks whether the regular end of an answer can be distinguished from the loss of its connection. */

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

const noContent = 204;
const notModified = 304;

/**
 * Returns whether the answer has no body, has a content length or is chunked. Any other answer ends when its connection closes, so a
 * truncated one looks complete; such an answer is never treated as complete.
 * @param method Method of the request.
 * @param statusCode Status code of the answer.
 * @param headers Headers of the answer, with lower-case names.
 */
export function isDelimited(method: string, statusCode: number, headers: AnswerHeaders): boolean {
	if (method === 'HEAD' || statusCode === noContent || statusCode === notModified) {
		return true;
	}

	const codings = headers['transfer-encoding'];
	if (codings === undefined) {
		return headers['content-length'] !== undefined;
	}

	return /(?:^|,)\s*chunked\s*$/i.test(String(codings));
}
