/** What a refusal may say of a request that no table of tickets or keys was asked about. */
import type {IncomingMessage} from 'node:http';
import {headerNames} from '@cairnbank/protocol/headers';
import type {Problem} from './problem.js';

export type Refusal = Omit<Problem, 'outcome'>;

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * A request under a ticket or key may have run when it was sent before, through any instance. Only a first send, or one
 * that stands for itself alone, is known not to have run once it is refused.
 */
export function toRefusalProblem({method, headers}: Pick<IncomingMessage, 'method' | 'headers'>, refusal: Refusal): Problem {
	const hasTicketOrKey = headers[headerNames.ticket] !== undefined || headers[headerNames.idempotencyKey] !== undefined;
	const isFirstSend = headers[headerNames.previousAttempts] === '0';
	if (!hasTicketOrKey || isFirstSend || safeMethods.has(method ?? '')) {
		return {...refusal, outcome: 'not-run'};
	}

	return {...refusal, outcome: 'unknown', detail: `an earlier send may have run; of this one: ${refusal.detail}`};
}
