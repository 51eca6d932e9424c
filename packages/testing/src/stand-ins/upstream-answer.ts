/** Writing an upstream's answer, whole or with the faults that are switched on. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {UpstreamFaults} from './upstream-faults.js';

export type AnswerContent = {
	readonly upstream: string;
	readonly requestId: string;
	/** Bytes of the request's body, so that callers see that it came whole. */
	readonly receivedBytes: number;
	/** Time that the deadline left when the request came; null without one. */
	readonly remainingMs: number;
	/** Filler up to the size asked for. */
	readonly padding?: string;
};

type Headers = Readonly<Record<string, string>>;

/** Sends the answer as the faults have it. */
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
