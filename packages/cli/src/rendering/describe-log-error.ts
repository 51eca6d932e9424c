/** Describes a failed request to the log in one line. */
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
			return `the log refused the request with status ${error.statusCode}: ${error.message}`;
		}

		case 'malformed': {
			return `the log's answer has an unexpected format: ${error.message}`;
		}
	}
}
