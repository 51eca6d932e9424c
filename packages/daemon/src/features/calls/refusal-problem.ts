/** Creates the problem for a request that is refused before the tables of tickets and idempotency keys are consulted. */
import type {IncomingMessage} from 'node:http';
import {headerNames} from '@cairnbank/protocol/headers';
import type {Problem} from './problem.js';

export type Refusal = Omit<Problem, 'outcome'>;

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Determines the outcome of a refused request. A request with a ticket or key may have been sent before, through any instance, and may
 * have run then. Only the first send of a request, a safe method, or a request without a ticket or key is known not to have run.
 */
export function toRefusalProblem({method, headers}: Pick<IncomingMessage, 'method' | 'headers'>, refusal: Refusal): Problem {
	const hasTicketOrKey = headers[headerNames.ticket] !== undefined || headers[headerNames.idempotencyKey] !== undefined;
	const isFirstSend = headers[headerNames.previousAttempts] === '0';
	if (!hasTicketOrKey || isFirstSend || safeMethods.has(method ?? '')) {
		return {...refusal, outcome: 'not-run'};
	}

	return {...refusal, outcome: 'unknown', detail: `an earlier send may have run; of this one: ${refusal.detail}`};
}
