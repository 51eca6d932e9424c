/** Reports the outcome of a request to its caller. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	NotRunReason, Outcome, UnknownReason, BufferedAnswer,
} from '@cairnbank/core/outcomes';
import {contentLengthOf} from './content-length.js';
import {endToEndHeaders} from './end-to-end-headers.js';
import {abortResponse} from './abort-response.js';
import {withNoRetryHeader} from './no-retry-header.js';
import {notRunStatusCodes, outcomeDetails} from './outcome-details.js';
import {writeProblem} from './problem.js';

const statusCodes = {unavailable: 503, badGateway: 502, gatewayTimeout: 504} as const;
const noContent = 204;
const notModified = 304;
/** Bodies up to this size are copied, so that headers and body are sent in one system call with a single buffer. */
const maximumSingleWriteBytes = 16_384;
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
			abortResponse(response);
			break;
		}

		case 'not-run': {
			writeNotRun(response, outcome.reason, outcome.retryAfterMs);
			break;
		}

		case 'unknown': {
			writeUnknown(response, outcome.reason, outcome.retryAfterMs);
			break;
		}
	}
}

function writeAnswer(response: ServerResponse, answer: BufferedAnswer): void {
	const {statusCode, body} = answer;
	const headers = withNoRetryHeader(statusCode, endToEndHeaders(answer.headers));
	const length = isBodiless(response, statusCode) ? contentLengthOf(answer.headers) : String(body.length);
	if (length !== undefined) {
		headers.push('content-length', length);
	}

	response.writeHead(statusCode, headers);
	if (body.length > 0 && body.length <= maximumSingleWriteBytes) {
		// Node.js joins a Latin-1 string, which has one byte per character, with the headers into a single write.
		response.end(Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'), 'latin1');
	} else {
		response.end(body);
	}
}

function isBodiless(response: ServerResponse, statusCode: number): boolean {
	return response.req.method === 'HEAD' || statusCode === noContent || statusCode === notModified;
}

function writeNotRun(response: ServerResponse, reason: NotRunReason, retryAfterMs: number | undefined): void {
	writeProblem(response, {
		statusCode: notRunStatusCodes[reason],
		outcome: 'not-run',
		reason,
		detail: outcomeDetails[reason] ?? `not run: ${reason}`,
		retryAfterMs: notRunStatusCodes[reason] === statusCodes.unavailable ? retryAfterMs ?? defaultRetryAfterMs : undefined,
	});
}

function writeUnknown(response: ServerResponse, reason: UnknownReason, retryAfterMs: number | undefined): void {
	writeProblem(response, {
		statusCode: reason === 'deadline-exceeded' ? statusCodes.gatewayTimeout : statusCodes.badGateway,
		outcome: 'unknown',
		reason,
		detail: outcomeDetails[reason] ?? `the request may have run: ${reason}`,
		retryAfterMs,
	});
}
