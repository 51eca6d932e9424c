/** Reads the complete body of a request, up to a size limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

export type BodyError = {readonly type: 'too-large'} | {readonly type: 'caller-gone'};

/** Returns whether the headers of the request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
	const {headers} = request;
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/** @param maximumBytes - reading stops with an error once the body exceeds this size */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<Result<Uint8Array, BodyError>> {
	if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
		return err({type: 'too-large'});
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
			length += chunk.length;
			if (length > maximumBytes) {
				request.pause();
				resolve(err({type: 'too-large'}));
			}
		});
		request.on('end', () => {
			resolve(ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		});
		request.on('close', () => {
			resolve(err({type: 'caller-gone'}));
		});
	});
}
