/** The retry decision: the next step of a request after its attempts so far. */
import type {AttemptResult} from '../outcomes/attempt-result.js';
import type {NotRunReason} from '../outcomes/not-run-reason.js';
import type {UnknownReason} from '../outcomes/unknown-reason.js';
import {isFailingStatus} from './answer-status.js';
import type {Attempt, AttemptEnd} from './attempt.js';
import {remainingMs} from './deadline.js';
import {endsRetries, finalOutcome} from './final-outcome.js';
import type {RetryPolicy} from './retry-policy.js';
import type {RetryStep} from './retry-step.js';

/** Refusals that concern a single upstream, so that another one may accept the request. */
const retriableNotRunReasons: ReadonlySet<NotRunReason> = new Set(['connection-refused', 'shed-by-upstream']);

/** Failures that may not occur at another upstream. */
const retriableUnknownReasons: ReadonlySet<UnknownReason> = new Set(['connection-lost', 'answer-truncated']);

function isRetriable(result: AttemptResult, idempotent: boolean): boolean {
	switch (result.type) {
		case 'not-run': {
			return retriableNotRunReasons.has(result.reason);
		}

		case 'unknown': {
			return idempotent && retriableUnknownReasons.has(result.reason);
		}

		case 'answered': {
			return idempotent && isFailingStatus(result.answer.statusCode);
		}

		case 'streamed':
		case 'broken-off': {
			return false;
		}
	}
}

/** Returns whether no other attempt can lead to a better result. */
function isDecisive(result: AttemptResult): boolean {
	switch (result.type) {
		case 'answered': {
			return !isFailingStatus(result.answer.statusCode);
		}

		case 'streamed':
		case 'broken-off': {
			return true;
		}

		case 'not-run':
		case 'unknown': {
			return false;
		}
	}
}

function allowsRetry(end: AttemptEnd, idempotent: boolean): boolean {
	return !end.noRetry && !end.suspect && isRetriable(end.result, idempotent);
}

function finish(attempts: readonly Attempt[]): RetryStep {
	const outcome = finalOutcome(attempts);
	return {type: 'finish', outcome, noRetry: endsRetries(outcome)};
}

function upstreamsOf(attempts: readonly Attempt[]) {
	return attempts.map(attempt => attempt.upstream);
}

/** Decides while attempts are running: a single attempt may get one hedge once it is slow. */
function hedgeOrWait(attempts: readonly Attempt[], policy: RetryPolicy, nowMs: number): RetryStep {
	const only = attempts.length === 1 ? attempts[0] : undefined;
	const {hedging} = policy;
	if (only === undefined || hedging === undefined || !policy.idempotent || policy.maximumAttempts < 2) {
		return {type: 'wait'};
	}

	const hedgeAtMs = only.startedAtMs + hedging.delayMs;
	if (remainingMs(policy.deadlineAtMs, hedgeAtMs) === undefined) {
		return {type: 'wait'};
	}

	if (nowMs < hedgeAtMs) {
		return {type: 'wait', hedgeAtMs};
	}

	return hedging.budget.tryWithdraw(nowMs)
		? {type: 'start', kind: 'hedge', excluding: upstreamsOf(attempts)}
		: {type: 'wait'};
}

/** Takes a token from the retry budget if another attempt is allowed. @returns whether it did */
function tryReserveRetry(attempts: readonly Attempt[], ends: readonly AttemptEnd[], policy: RetryPolicy, nowMs: number): boolean {
	return attempts.length < policy.maximumAttempts
		&& ends.every(end => allowsRetry(end, policy.idempotent))
		&& remainingMs(policy.deadlineAtMs, nowMs) !== undefined
		&& policy.retryBudget.tryWithdraw(nowMs);
}

/**
 * Decides the next step. A `start` has already taken its token from the budget. Where no other upstream is available for a `start`,
 * the request ends with {@link finalOutcome}.
 * @param attempts All attempts in the order of their start, the running ones without an end; at least one.
 * @param policy Rules and budgets of the request.
 * @param nowMs Monotonic time.
 */
export function nextStep(attempts: readonly Attempt[], policy: RetryPolicy, nowMs: number): RetryStep {
	const ends = attempts.map(attempt => attempt.end).filter(end => end !== undefined);
	const isExpired = policy.deadlineAtMs <= nowMs;
	if (isExpired || ends.some(end => isDecisive(end.result))) {
		return finish(attempts);
	}

	if (ends.length < attempts.length) {
		return hedgeOrWait(attempts, policy, nowMs);
	}

	return tryReserveRetry(attempts, ends, policy, nowMs)
		? {type: 'start', kind: 'retry', excluding: upstreamsOf(attempts)}
		: finish(attempts);
}
