/** How a command fails. */
import {type ValidationFault} from '@cairnbank/core';
import {exitCodes, type ExitCode} from '../exit-codes/exit-code.js';

export type CommandError = {
	readonly type: 'wrong-use' | 'conflict' | 'unavailable';
	readonly message: string;
	readonly faults?: readonly ValidationFault[];
	/** What to do next. */
	readonly advice?: string;
};

/** The process's exit code after an error. */
export function toExitCode(error: CommandError): ExitCode {
	switch (error.type) {
		case 'wrong-use': {
			return exitCodes.usageError;
		}

		case 'conflict': {
			return exitCodes.conflict;
		}

		case 'unavailable': {
			return exitCodes.unavailable;
		}
	}
}

/** The error as lines for people. */
export function describeError({message, faults = [], advice}: CommandError): string[] {
	const faultLines = faults.map(fault => `  ${fault.path}: ${fault.message}`);
	return [`cairnbank: ${message}`, ...faultLines, ...(advice === undefined ? [] : [`Next: ${advice}`])];
}
