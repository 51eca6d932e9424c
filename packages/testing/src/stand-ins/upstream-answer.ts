/** Writes the answer of an upstream stand-in, complete or with the faults that are set. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {UpstreamFaults} from './upstream-faults.js';

export type AnswerContent = {
	readonly upstream: string;
	readonly requestId: string;
	/** Size of the request body in bytes, so that callers can check that it arrived complete. */
	readonly receivedBytes: number;
	/** Time until the deadline, as the request states it; null in the JSON if the request has none. */
	readonly remainingMs: number;
	/** Filler of the size that the faults set. */
	readonly padding?: string;
};

type Headers = Readonly<Record<string, string>>;

/** Sends the answer, truncated, in chunks or complete, as the faults specify. */
export async function writeAnswer(response: ServerResponse, content: AnswerContent, headers: Headers, faults: UpstreamFaults): Promise<void> {
	const padding = faults.answerBytes > 0 ? 'x'.repeat(faults.answerBytes) : undefined;
	const body = Buffer.from(JSON.stringify({...content, padding}));
	if (faults.truncate) {
		response.writeHead(200, {...headers, 'content-length': body.length});
		response.write(body.subarray(0, Math.floor(body.length / 2)));
		await delay(1);
		response.socket?.resetAndDestroy();
		return;
	}

	if (faults.chunks > 0) {
		await writeChunks(response, body, headers, faults);
		return;
	}

	response.writeHead(200, {...headers, 'content-length': body.length});
	response.end(body);
}

async function writeChunks(response: ServerResponse, body: Uint8Array, headers: Headers, faults: UpstreamFaults): Promise<void> {
	const size = Math.max(1, Math.ceil(body.length / faults.chunks));
	response.writeHead(200, headers);
	for (let start = 0; start < body.length; start += size) {
		response.write(body.subarray(start, start + size));
		await delay(faults.chunkGapMs);
	}

	response.end();
}
