/** Bytes that callers send who do not behave. */
import {Buffer} from 'node:buffer';

const smallChunk = Buffer.from('1\r\nx\r\n');
/** One of many header lines, each of which takes more memory than its bytes. */
const shortHeader = 'a:b\r\n';

/** Ends a body in chunks. */
export const lastChunk = '0\r\n\r\n';

/** Returns so many chunks of one byte each, which are no whole body. */
export function smallChunks(count: number): Uint8Array {
	return Buffer.alloc(smallChunk.length * count, smallChunk);
}

/** Returns so many chunks of this size, which are no whole body. */
export function largeChunks(count: number, bytes: number): Uint8Array {
	const chunk = Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 'x'), Buffer.from('\r\n')]);
	return Buffer.alloc(chunk.length * count, chunk);
}

/** Returns many short header lines of so many bytes together. */
export function shortHeaders(bytes: number): string {
	return shortHeader.repeat(Math.floor(bytes / shortHeader.length));
}

/** Returns the beginning of a request whose head goes on for so many bytes, and does not end. */
export function unfinishedHead(path: string, bytes: number): string {
	return `GET ${path} HTTP/1.1\r\nHost: pay.example\r\n${shortHeaders(bytes)}`;
}
