/** Converts a failed read of the log to the error of a command. */
import {type LogError} from '@cairnbank/protocol/log';
import {describeLogError} from '../rendering/describe-log-error.js';
import {type CommandError} from './command-error.js';

export function toReadError(error: LogError): CommandError {
	return {
		type: 'unavailable',
		message: describeLogError(error),
		advice: 'check "log.url" in the settings, or wait until the log is available again; instances keep the configuration in force',
	};
}
