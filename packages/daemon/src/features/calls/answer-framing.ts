/** Whether the end of an answer can be told from its connection's loss. */

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

const noContent = 204;
const notModified = 304;

/**
 * An answer that ends with its connection looks whole wherever it is cut, so it never counts as whole.
 * @param method The request's.
 * @param statusCode The answer's.
 * @param headers The answer's, with lower-case names.
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
