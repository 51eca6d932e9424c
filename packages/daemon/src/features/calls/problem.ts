/** Writes the answers that the daemon itself sends to callers, in the problem details format (RFC 9457). */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {NotRunReason, UnknownReason} from '@cairnbank/core/outcomes';
import {headerNames} from '@cairnbank/protocol/headers';

const contentType = 'application/problem+json';
const problemTypePrefix = 'urn:cairnbank:problem:';
const millisecondsPerSecond = 1000;

export type Problem = {
	readonly statusCode: number;
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: NotRunReason | UnknownReason;
	readonly detail: string;
	readonly retryAfterMs?: number;
};

/** Writes a problem as a complete answer. */
export function writeProblem(response: ServerResponse, problem: Problem): void {
	const body = JSON.stringify({
		type: problemTypePrefix + problem.reason,
		title: problem.outcome === 'not-run' ? 'The request was not run' : 'It is not known whether the request ran',
		status: problem.statusCode,
		detail: problem.detail,
		outcome: problem.outcome,
	});
	const headers: Record<string, string> = {
		'content-type': contentType,
		'content-length': String(Buffer.byteLength(body)),
		[headerNames.outcome]: problem.outcome,
		[headerNames.noRetry]: 'true',
	};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / millisecondsPerSecond)));
	}

	response.writeHead(problem.statusCode, headers);
	response.end(body);
}
