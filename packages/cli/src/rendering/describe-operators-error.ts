/** One line about an instance that gave no usable answer. */
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
			return `answer not understood, perhaps another version: ${error.message}`;
		}
	}
}
