/** Writes the outcome of a call as an HTTP response. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {HeaderFilter} from '@cairnbank/core/headers';
import {bodylessStatuses} from '../upstreams/upstream-answer.js';
import type {BadRequestReason, Outcome} from './outcome.js';

const answerHeaders = new HeaderFilter();
const millisecondsPerSecond = 1000;
/** Long bodies are written in parts of this size, so that it is seen whether their callers read on. */
const partBytes = 65_536;

const badRequestStatus: Readonly<Record<BadRequestReason, number>> = {
	'no-route': 404,
	'no-request-id': 400,
	'bad-deadline': 400,
	'body-late': 408,
	'body-too-large': 413,
	'header-too-large': 431,
	'unknown-expectation': 417,
};

export type WriteOptions = {
	/** True if the connection closes after this response. */
	readonly isLast: boolean;
	/** Status if the request could not be read whole because its bytes are malformed. */
	readonly faultStatus: number | undefined;
	/** Called when the socket has taken a part of the body, with all that it has taken so far. */
	readonly onProgress: (writtenBytes: number) => void;
};

export function writeOutcome(response: ServerResponse, outcome: Outcome, {isLast, faultStatus, onProgress}: WriteOptions): void {
	if (response.writableEnded || response.destroyed) {
		return;
	}

	if (isLast) {
		response.shouldKeepAlive = false;
	}

	switch (outcome.type) {
		case 'answered': {
			const {status, headers, body} = outcome.answer;
			const length = response.req.method === 'HEAD' || bodylessStatuses.has(status) ? [] : ['Content-Length', String(body.length)];
			response.writeHead(status, [...answerHeaders.apply(headers), ...length]);
			endAfterWrite(response, body, onProgress);
			return;
		}

		case 'not-run': {
			writeError(response, 503, outcome.reason, ['Retry-After', String(outcome.retryAfterMs / millisecondsPerSecond)]);
			return;
		}

		case 'limited': {
			writeError(response, 429, outcome.type, ['Retry-After', String(outcome.retryAfterMs / millisecondsPerSecond)]);
			return;
		}

		case 'unknown': {
			writeError(response, 502, outcome.reason);
			return;
		}

		case 'timed-out': {
			writeError(response, 504, outcome.type);
			return;
		}

		case 'bad-request': {
			writeError(response, badRequestStatus[outcome.reason], outcome.reason);
			return;
		}

		case 'unauthenticated': {
			writeError(response, 401, outcome.reason, ['WWW-Authenticate', 'Bearer']);
			return;
		}

		case 'abandoned': {
			if (faultStatus === undefined) {
				response.destroy();
			} else {
				writeError(response, faultStatus, 'malformed');
			}
		}
	}
}

/**
 * Ends the response only once its body has been written to the socket: a closing server treats the connection of an ended
 * response as idle and closes it, even with data left to send.
 */
function endAfterWrite(response: ServerResponse, body: Uint8Array, onProgress?: (writtenBytes: number) => void): void {
	const writeFrom = (start: number) => {
		const end = start + partBytes;
		response.write(body.subarray(start, end), error => {
			if (error) {
				return;
			}

			onProgress?.(Math.min(end, body.length));
			if (end < body.length) {
				writeFrom(end);
			} else {
				response.end();
			}
		});
	};

	writeFrom(0);
}

function writeError(response: ServerResponse, status: number, reason: string, headers: readonly string[] = []): void {
	const body = JSON.stringify({reason});
	response.writeHead(status, ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...headers]);
	endAfterWrite(response, Buffer.from(body));
}
