/** Signals about the health of an upstream, derived from the results of attempts. */
import type {AttemptResult} from '../outcomes/attempt-result.js';

export type AttemptSignal =
	/** A complete answer that is not a server error. */
	| 'success'
	/** A server error, a lost connection or a truncated answer. */
	| 'failure'
	/** The upstream shed the request without running it. */
	| 'shed'
	/** No answer within the deadline: the latency is at least the time waited. */
	| 'timeout'
	/** The attempt ended for a reason unrelated to the upstream. */
	| 'neutral';

const firstServerError = 500;

function isServerError(statusCode: number): boolean {
	return statusCode >= firstServerError;
}

/** Maps the result of an attempt to a signal. */
export function toAttemptSignal(result: AttemptResult): AttemptSignal {
	switch (result.type) {
		case 'answered': {
			return isServerError(result.answer.statusCode) ? 'failure' : 'success';
		}

		case 'streamed': {
			return isServerError(result.statusCode) ? 'failure' : 'success';
		}

		case 'broken-off': {
			return 'failure';
		}

		case 'not-run': {
			return notRunSignal(result);
		}

		case 'unknown': {
			return unknownSignal(result);
		}
	}
}

function notRunSignal({reason}: Extract<AttemptResult, {type: 'not-run'}>): AttemptSignal {
	if (reason === 'shed-by-upstream') {
		return 'shed';
	}

	return reason === 'connection-refused' ? 'failure' : 'neutral';
}

function unknownSignal({reason}: Extract<AttemptResult, {type: 'unknown'}>): AttemptSignal {
	if (reason === 'deadline-exceeded') {
		return 'timeout';
	}

	return reason === 'connection-lost' || reason === 'answer-truncated' ? 'failure' : 'neutral';
}
