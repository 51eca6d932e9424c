/** The retry decision: what follows from the attempts so far. */
import type {AttemptResult} from '../outcomes/attempt-result.js';
import type {NotRunReason} from '../outcomes/not-run-reason.js';
import type {UnknownReason} from '../outcomes/unknown-reason.js';
import {isFailingStatus} from './answer-status.js';
import type {Attempt, AttemptEnd} from './attempt.js';
import {remainingMs} from './deadline.js';
import {endsRetries, finalOutcome} from './final-outcome.js';
import type {RetryPolicy} from './retry-policy.js';
import type {RetryStep} from './retry-step.js';

/** Refusals that concern one upstream, so that another may take the request. */
const retriedNotRun: ReadonlySet<NotRunReason> = new Set(['connection-refused', 'shed-by-upstream']);

/** Losses that another upstream may be spared. */
const retriedUnknown: ReadonlySet<UnknownReason> = new Set(['connection-lost', 'answer-truncated']);

function isRetriable(result: AttemptResult, idempotent: boolean): boolean {
	switch (result.type) {
		case 'not-run': {
			return retriedNotRun.has(result.reason);
		}

		case 'unknown': {
			return idempotent && retriedUnknown.has(result.reason);
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

/** Whether nothing that another attempt may bring is better than this. */
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

function mayFollow(end: AttemptEnd, idempotent: boolean): boolean {
	return !end.noRetry && !end.suspect && isRetriable(end.result, idempotent);
}

function finish(attempts: readonly Attempt[]): RetryStep {
	const outcome = finalOutcome(attempts);
	return {type: 'finish', outcome, noRetry: endsRetries(outcome)};
}

function upstreamsOf(attempts: readonly Attempt[]) {
	return attempts.map(attempt => attempt.upstream);
}

/** One attempt runs: it may be joined by one hedge, once it is slow. */
function whileRunning(attempts: readonly Attempt[], policy: RetryPolicy, nowMs: number): RetryStep {
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

function mayStartAnother(attempts: readonly Attempt[], ends: readonly AttemptEnd[], policy: RetryPolicy, nowMs: number): boolean {
	return attempts.length < policy.maximumAttempts
		&& ends.every(end => mayFollow(end, policy.idempotent))
		&& remainingMs(policy.deadlineAtMs, nowMs) !== undefined
		&& policy.retryBudget.tryWithdraw(nowMs);
}

/**
 * Decides what follows. It takes a token from the budget where it starts an attempt. Where no other upstream
 * can be had for a `start`, the request ends with {@link finalOutcome}.
 * @param attempts All attempts in the order of their start, the running ones without an end; at least one.
 * @param policy The request's rules and budgets.
 * @param nowMs Monotonic time.
 */
export function nextStep(attempts: readonly Attempt[], policy: RetryPolicy, nowMs: number): RetryStep {
	const ends = attempts.map(attempt => attempt.end).filter(end => end !== undefined);
	const isExpired = policy.deadlineAtMs <= nowMs;
	if (isExpired || ends.some(end => isDecisive(end.result))) {
		return finish(attempts);
	}

	if (ends.length < attempts.length) {
		return whileRunning(attempts, policy, nowMs);
	}

	return mayStartAnother(attempts, ends, policy, nowMs)
		? {type: 'start', kind: 'retry', excluding: upstreamsOf(attempts)}
		: finish(attempts);
}
