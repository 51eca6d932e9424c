/** Writes the outcome of a call as an HTTP response. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {HeaderFilter} from '@cairnbank/core/headers';
import type {BadRequestReason, Outcome} from './outcome.js';

const answerHeaders = new HeaderFilter();
const millisecondsPerSecond = 1000;

const badRequestStatus: Readonly<Record<BadRequestReason, number>> = {
	'no-route': 404,
	'no-request-id': 400,
	'bad-deadline': 400,
	'body-too-large': 413,
	'header-too-large': 431,
};

/** @param isLast - whether to close the connection after this response */
export function writeOutcome(response: ServerResponse, outcome: Outcome, isLast: boolean): void {
	if (response.writableEnded || response.destroyed) {
		return;
	}

	if (isLast) {
		response.shouldKeepAlive = false;
	}

	switch (outcome.type) {
		case 'answered': {
			const {status, headers, body} = outcome.answer;
			const length = response.req.method === 'HEAD' ? [] : ['Content-Length', String(body.length)];
			response.writeHead(status, [...answerHeaders.apply(headers), ...length]);
			endAfterWrite(response, body);
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

		case 'abandoned': {
			response.destroy();
		}
	}
}

/**
 * Ends the response only once its body has been written to the socket: a closing server treats the connection of an ended
 * response as idle and closes it, even with data left to send.
 */
function endAfterWrite(response: ServerResponse, body: Uint8Array): void {
	response.write(body, () => {
		response.end();
	});
}

function writeError(response: ServerResponse, status: number, reason: string, headers: readonly string[] = []): void {
	const body = JSON.stringify({reason});
	response.writeHead(status, ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...headers]);
	endAfterWrite(response, Buffer.from(body));
}
