/** Describes a failed request to the admin port of an instance in one line. */
import {type OperatorsError} from '@cairnbank/protocol/operators';

export function describeOperatorsError(error: OperatorsError): string {
	switch (error.type) {
		case 'unreachable': {
			return `not reachable: ${error.message}`;
		}

		case 'unauthorized': {
			return 'the operator secret is not accepted';
		}

		case 'failed': {
			return `failed: ${error.message}`;
		}

		case 'malformed': {
			return `the answer has an unexpected format, perhaps from another version: ${error.message}`;
		}
	}
}
