/** One line about a failed call to the log. */
import {type LogError} from '@cairnbank/protocol/log';

export function describeLogError(error: LogError): string {
	switch (error.type) {
		case 'unreachable': {
			return `the log cannot be reached: ${error.message}`;
		}

		case 'unacknowledged': {
			return `the log did not answer: ${error.message}`;
		}

		case 'refused': {
			return `the log refused the call with ${error.statusCode}: ${error.message}`;
		}

		case 'malformed': {
			return `the log's answer was not understood: ${error.message}`;
		}
	}
}
