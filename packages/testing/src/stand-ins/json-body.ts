/** Reads and writes JSON bodies with `node:http`. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Reads the complete body; rejects if the peer disconnects first. */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/** Parses the body as JSON; resolves with `undefined` for an empty body and rejects if the text is not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
	const body = await readBody(request);
	return body.length === 0 ? undefined : JSON.parse(Buffer.from(body).toString()) as unknown;
}

export function sendJson(response: ServerResponse, statusCode: number, value: unknown): void {
	const text = JSON.stringify(value);
	response.writeHead(statusCode, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}
