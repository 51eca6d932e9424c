/** Decides whether an answer on a connection belongs to the request that waits there. */
import {headerOf, type OutgoingRequest} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';

export type AnswerMatch =
	| 'own'
	/** The answer to an earlier request, or a duplicate; the own one may still follow. */
	| 'another'
	/** It names no request. On a connection that was used before it may be an additional answer to an earlier one, which proves nothing of this one. */
	| 'unproven';

export type MatchOptions = {
	/** The request that waits; undefined if none does. */
	readonly request: Pick<OutgoingRequest, 'requestId'> | undefined;
	/** Name of the header that carries the id of the answered request. */
	readonly requestIdHeader: string;
	/** True if the connection has carried an answer before. */
	readonly wasUsed: boolean;
};

export function matchAnswer({headers}: Pick<UpstreamAnswer, 'headers'>, {request, requestIdHeader, wasUsed}: MatchOptions): AnswerMatch {
	const answeredId = headerOf(headers, requestIdHeader);
	if (request === undefined || (answeredId !== undefined && answeredId !== request.requestId)) {
		return 'another';
	}

	const isHealthCheck = request.requestId === undefined;
	return answeredId === undefined && !isHealthCheck && wasUsed ? 'unproven' : 'own';
}
