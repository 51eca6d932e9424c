/** Types of an upstream's response: status, headers in order, and body. */

/** Header names and values alternate, in the order and spelling in which they were received. */
export type RawHeaders = readonly string[];

/** A response that is fully buffered in memory. */
export type WholeAnswer = {
	readonly statusCode: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};
