/** What the end of an attempt tells about the upstream that it was sent to. */
import type {AttemptResult} from '../outcomes/attempt-result.js';

export type AttemptSignal =
	/** A whole answer that is no server error. */
	| 'success'
	/** A server error, a lost connection or a truncated answer. */
	| 'failure'
	/** The upstream refused the work as not run. */
	| 'shed'
	/** No answer within the deadline: as slow as the time waited, at least. */
	| 'timeout'
	/** Ended for a reason that is not the upstream's. */
	| 'neutral';

const firstServerError = 500;

function isServerError(statusCode: number): boolean {
	return statusCode >= firstServerError;
}

/** Reads the signal off an attempt's result. */
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
