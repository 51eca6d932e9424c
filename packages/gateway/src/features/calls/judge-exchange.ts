/** Classifies the result of one exchange. Whether a request provably has not run is decided only here. */
import type {Result} from 'neverthrow';
import type {RequestDialect} from '../../ports/index.js';
import {headerOf, type ExchangeFailure} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {NotRunReason, UnknownReason} from './outcome.js';

export type ExchangeVerdict =
	| {readonly type: 'success'; readonly answer: UpstreamAnswer}
	/** The upstream's own failure answer, which may be passed on to the caller. */
	| {readonly type: 'upstream-failure'; readonly answer: UpstreamAnswer}
	/** The request provably has not run. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason}
	| {readonly type: 'unknown'; readonly reason: UnknownReason}
	| {readonly type: 'cancelled'};

const misdirectedStatus = 421;
const firstClientErrorStatus = 400;
const firstServerErrorStatus = 500;
const firstRedirectStatus = 300;
/** Statuses from which a caller concludes that the request has not run; they are passed on only with a proof of that. */
const refusalStatuses = new Set([408, misdirectedStatus, 429, 503]);

export function classifyExchange(result: Result<UpstreamAnswer, ExchangeFailure>, dialect: RequestDialect): ExchangeVerdict {
	return result.match(answer => classifyAnswer(answer, dialect), failure => classifyFailure(failure));
}

function classifyAnswer(answer: UpstreamAnswer, dialect: RequestDialect): ExchangeVerdict {
	const {status, headers} = answer;
	if (status === misdirectedStatus) {
		return {type: 'not-run', reason: 'wrong-upstream'};
	}

	if (headerOf(headers, dialect.notExecutedHeader) !== undefined) {
		return {type: 'not-run', reason: 'refused-by-upstreams'};
	}

	const isSigned = headerOf(headers, dialect.signatureHeader) !== undefined;
	const isEncoded = headerOf(headers, 'content-encoding') !== undefined;
	if (!isSigned || isEncoded) {
		// Callers request no content encoding, so an encoded body is not from the upstream.
		return {type: 'unknown', reason: 'unsigned'};
	}

	if (refusalStatuses.has(status)) {
		return {type: 'unknown', reason: 'unproven-refusal'};
	}

	if (status >= firstServerErrorStatus) {
		return {type: 'upstream-failure', answer};
	}

	return status < firstRedirectStatus || status >= firstClientErrorStatus
		? {type: 'success', answer}
		: {type: 'upstream-failure', answer};
}

function classifyFailure(failure: ExchangeFailure): ExchangeVerdict {
	switch (failure.type) {
		case 'not-connected':
		case 'no-relay': {
			return {type: 'not-run', reason: failure.type};
		}

		case 'timed-out':
		case 'broken':
		case 'malformed':
		case 'answer-outgrown': {
			return {type: 'unknown', reason: failure.type};
		}

		case 'cancelled': {
			return {type: 'cancelled'};
		}
	}
}

/** Returns whether no byte of the request can have reached an upstream. */
export function wasNeverSent(verdict: ExchangeVerdict): boolean {
	return verdict.type === 'not-run' && (verdict.reason === 'not-connected' || verdict.reason === 'no-relay');
}

/** Formats a verdict for the log. */
export function describeVerdict(verdict: ExchangeVerdict, tookMs: number): string {
	const reason = 'reason' in verdict ? `(${verdict.reason})` : '';
	return `${verdict.type}${reason}:${Math.round(tookMs)}ms`;
}
