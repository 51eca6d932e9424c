/** Tells a caller how its request ended. */
import type {ServerResponse} from 'node:http';
import type {
	NotRunReason, Outcome, UnknownReason, WholeAnswer,
} from '@cairnbank/core/outcomes';
import {endToEndHeaders} from './end-to-end-headers.js';
import {writeProblem} from './problem.js';

const statusCodes = {unavailable: 503, badGateway: 502, gatewayTimeout: 504} as const;
const defaultRetryAfterMs = 1000;

export function writeOutcome(response: ServerResponse, outcome: Outcome): void {
	switch (outcome.type) {
		case 'answered': {
			writeAnswer(response, outcome.answer);
			break;
		}

		case 'streamed': {
			break;
		}

		case 'broken-off': {
			response.destroy();
			break;
		}

		case 'not-run': {
			writeNotRun(response, outcome.reason, outcome.retryAfterMs);
			break;
		}

		case 'unknown': {
			writeUnknown(response, outcome.reason);
			break;
		}
	}
}

function writeAnswer(response: ServerResponse, answer: WholeAnswer): void {
	const headers = endToEndHeaders(answer.headers);
	if (answer.body.length > 0 || !bodiless(response, answer.statusCode)) {
		headers.push('content-length', String(answer.body.length));
	}

	response.writeHead(answer.statusCode, headers);
	response.end(answer.body);
}

function bodiless(response: ServerResponse, statusCode: number): boolean {
	return response.req.method === 'HEAD' || statusCode === 204 || statusCode === 304;
}

function writeNotRun(response: ServerResponse, reason: NotRunReason, retryAfterMs: number | undefined): void {
	writeProblem(response, {
		statusCode: statusCodes.unavailable,
		outcome: 'not-run',
		reason,
		detail: `not run: ${reason}`,
		retryAfterMs: retryAfterMs ?? defaultRetryAfterMs,
	});
}

function writeUnknown(response: ServerResponse, reason: UnknownReason): void {
	writeProblem(response, {
		statusCode: reason === 'deadline-exceeded' ? statusCodes.gatewayTimeout : statusCodes.badGateway,
		outcome: 'unknown',
		reason,
		detail: `the request may have run: ${reason}`,
	});
}
