/** An upstream's answer: its status, its headers in order, and a body. */

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** An answer that is held whole in memory. */
export type WholeAnswer = {
	readonly statusCode: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};
