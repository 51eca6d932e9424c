/** Puts an outcome into HTTP. */
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

/** @param isLast - whether the connection ends with this answer */
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
			endWith(response, body);
			return;
		}

		case 'not-run': {
			fail(response, 503, outcome.reason, ['Retry-After', String(outcome.retryAfterMs / millisecondsPerSecond)]);
			return;
		}

		case 'unknown': {
			fail(response, 502, outcome.reason);
			return;
		}

		case 'timed-out': {
			fail(response, 504, outcome.type);
			return;
		}

		case 'bad-request': {
			fail(response, badRequestStatus[outcome.reason], outcome.reason);
			return;
		}

		case 'abandoned': {
			response.destroy();
		}
	}
}

/**
 * Ends the response once its body has left this process: a server that closes takes the connection of a response that has
 * ended for idle, whatever is still to be sent on it.
 */
function endWith(response: ServerResponse, body: Uint8Array): void {
	response.write(body, () => {
		response.end();
	});
}

function fail(response: ServerResponse, status: number, reason: string, headers: readonly string[] = []): void {
	const body = JSON.stringify({reason});
	response.writeHead(status, ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...headers]);
	endWith(response, Buffer.from(body));
}
