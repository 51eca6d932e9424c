/** Combines the results of all attempts of a request into its one outcome. */
import type {AttemptResult} from '../outcomes/attempt-result.js';
import type {Outcome} from '../outcomes/outcome.js';
import type {Attempt} from './attempt.js';
import {isFailingStatus} from './answer-status.js';

type NotRun = Extract<AttemptResult, {type: 'not-run'}>;

/** Returns the answer for the caller: one that is or was being streamed, else the first successful one, else the latest failing one. */
function bestAnswer(results: readonly AttemptResult[]): Outcome | undefined {
	const streamed = results.find(result => result.type === 'streamed' || result.type === 'broken-off');
	if (streamed !== undefined) {
		return streamed;
	}

	const answers = results.filter(result => result.type === 'answered');
	return answers.find(result => !isFailingStatus(result.answer.statusCode)) ?? answers.at(-1);
}

/** Returns the latest reason, with the shortest retry-after time of all results. */
function mergeNotRun(results: readonly NotRun[], last: NotRun): Outcome {
	const waits = results.map(result => result.retryAfterMs).filter(wait => wait !== undefined);
	return waits.length === 0 ? last : {...last, retryAfterMs: Math.min(...waits)};
}

/**
 * Combines the attempts of one request. The outcome is `not-run` only where every attempt provably did not run;
 * an attempt that has not ended counts as one that may have run.
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
 * Returns whether the answer to the caller is marked so that daemons further up the call chain don't retry it: the daemon closest to
 * the failure alone decides about retries.
 * @param outcome Outcome that the caller receives.
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
