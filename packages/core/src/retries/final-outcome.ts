/** The one outcome of a request from the ends of all its attempts. */
import type {AttemptResult} from '../outcomes/attempt-result.js';
import type {Outcome} from '../outcomes/outcome.js';
import type {Attempt} from './attempt.js';
import {isFailingStatus} from './answer-status.js';

type NotRun = Extract<AttemptResult, {type: 'not-run'}>;

/** The answer that counts: a good one before a failing one, the latest of the failing ones. */
function bestAnswer(results: readonly AttemptResult[]): Outcome | undefined {
	const passedOn = results.find(result => result.type === 'streamed' || result.type === 'broken-off');
	if (passedOn !== undefined) {
		return passedOn;
	}

	const answers = results.filter(result => result.type === 'answered');
	return answers.find(result => !isFailingStatus(result.answer.statusCode)) ?? answers.at(-1);
}

/** The latest reason, with the shortest of the times after which an upstream asks to come back. */
function mergeNotRun(results: readonly NotRun[], last: NotRun): Outcome {
	const waits = results.map(result => result.retryAfterMs).filter(wait => wait !== undefined);
	return waits.length === 0 ? last : {...last, retryAfterMs: Math.min(...waits)};
}

/**
 * Joins the attempts of one request. `not-run` comes out only where every attempt provably did not run.
 * An attempt without an end counts as one that may have run.
 * @param attempts All attempts in the order of their start.
 */
export function finalOutcome(attempts: readonly Attempt[]): Outcome {
	const results = attempts.map(attempt => attempt.end?.result).filter(result => result !== undefined);
	const answer = bestAnswer(results);
	if (answer !== undefined) {
		return answer;
	}

	const unknown = results.find(result => result.type === 'unknown');
	if (unknown !== undefined) {
		return unknown;
	}

	if (results.length < attempts.length) {
		return {type: 'unknown', reason: 'deadline-exceeded'};
	}

	const notRun = results.filter(result => result.type === 'not-run');
	const last = notRun.at(-1);
	return last === undefined ? {type: 'not-run', reason: 'no-upstream'} : mergeNotRun(notRun, last);
}

/**
 * Whether the answer to the caller is to be marked so that daemons above don't retry it: this one is nearest
 * to the failure, and it has decided.
 * @param outcome What the caller is told.
 */
export function endsRetries(outcome: Outcome): boolean {
	switch (outcome.type) {
		case 'answered': {
			return isFailingStatus(outcome.answer.statusCode);
		}

		case 'streamed': {
			return isFailingStatus(outcome.statusCode);
		}

		case 'not-run':
		case 'unknown':
		case 'broken-off': {
			return true;
		}
	}
}
