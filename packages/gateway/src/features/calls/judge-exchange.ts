/** What the end of one exchange says of the request: the one place where "not run" is decided. */
import type {Result} from 'neverthrow';
import type {RequestDialect} from '../../ports/index.js';
import {headerOf, type ExchangeFailure, type UpstreamAnswer} from '../upstreams/exchange.js';
import type {NotRunReason, UnknownReason} from './outcome.js';

export type Verdict =
	| {readonly type: 'success'; readonly answer: UpstreamAnswer}
	/** The upstream's own failure, which may be passed on. */
	| {readonly type: 'upstream-failure'; readonly answer: UpstreamAnswer}
	/** Provably not run. */
	| {readonly type: 'not-run'; readonly reason: NotRunReason}
	| {readonly type: 'unknown'; readonly reason: UnknownReason}
	| {readonly type: 'cancelled'};

const misdirected = 421;
const firstFailureStatus = 400;
const firstServerErrorStatus = 500;
const firstRedirectStatus = 300;
/** To a caller these promise that the request has not run; only a proof allows them. */
const promisingStatuses = new Set([408, misdirected, 429, 503]);

export function judgeExchange(result: Result<UpstreamAnswer, ExchangeFailure>, dialect: RequestDialect): Verdict {
	return result.match(answer => judgeAnswer(answer, dialect), failure => judgeFailure(failure));
}

function judgeAnswer(answer: UpstreamAnswer, dialect: RequestDialect): Verdict {
	const {status, headers} = answer;
	if (status === misdirected) {
		return {type: 'not-run', reason: 'wrong-upstream'};
	}

	if (headerOf(headers, dialect.notExecutedHeader) !== undefined) {
		return {type: 'not-run', reason: 'refused-by-upstreams'};
	}

	const isSigned = headerOf(headers, dialect.signatureHeader) !== undefined;
	const isEncoded = headerOf(headers, 'content-encoding') !== undefined;
	if (!isSigned || isEncoded) {
		// Callers ask for no encoding: such a body is not the upstream's.
		return {type: 'unknown', reason: 'unsigned'};
	}

	if (promisingStatuses.has(status)) {
		return {type: 'unknown', reason: 'unproven-refusal'};
	}

	if (status >= firstServerErrorStatus) {
		return {type: 'upstream-failure', answer};
	}

	return status < firstRedirectStatus || status >= firstFailureStatus
		? {type: 'success', answer}
		: {type: 'upstream-failure', answer};
}

function judgeFailure(failure: ExchangeFailure): Verdict {
	switch (failure.type) {
		case 'not-connected': {
			return {type: 'not-run', reason: 'not-connected'};
		}

		case 'timed-out':
		case 'broken':
		case 'malformed': {
			return {type: 'unknown', reason: failure.type};
		}

		case 'cancelled': {
			return {type: 'cancelled'};
		}
	}
}

/** Whether no byte of the request can have reached an upstream. */
export function hasReachedNothing(verdict: Verdict): boolean {
	return verdict.type === 'not-run' && verdict.reason === 'not-connected';
}

/** For the log. */
export function describeVerdict(verdict: Verdict, tookMs: number): string {
	const reason = 'reason' in verdict ? `(${verdict.reason})` : '';
	return `${verdict.type}${reason}:${Math.round(tookMs)}ms`;
}
