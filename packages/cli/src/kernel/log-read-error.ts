/** A failed read of the log as a command's error. */
import {type LogError} from '@cairnbank/protocol/log';
import {describeLogError} from '../rendering/describe-log-error.js';
import {type CommandError} from './command-error.js';

export function toLogReadError(error: LogError): CommandError {
	return {
		type: 'unavailable',
		message: describeLogError(error),
		advice: 'check "log.url" in the settings, or wait until the log is back; instances keep what is in force',
	};
}
