/** An answer is the HTTP response of an upstream: status, headers in order, and body. */

/** Header names and values alternate, in the order and spelling in which they were received. */
export type RawHeaders = readonly string[];

/** An answer that is fully buffered in memory. */
export type BufferedAnswer = {
	readonly statusCode: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};
