/** Upstreams append bytes to the text of an answer; records leave them out. */

/** @returns the body as it is unless it ends with all of these bytes */
export function withoutPadding(body: string, paddingBytes: number): string {
	return body.endsWith('.'.repeat(paddingBytes)) ? body.slice(0, body.length - paddingBytes) : body;
}
