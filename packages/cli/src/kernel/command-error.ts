/** The error of a command, and its output and exit code. */
import {type ValidationFault} from '@cairnbank/core';
import {exitCodes, type ExitCode} from '../exit-codes/exit-code.js';

export type CommandError = {
	readonly type: 'wrong-use' | 'conflict' | 'unavailable';
	readonly message: string;
	readonly faults?: readonly ValidationFault[];
	/** What the user can do next. */
	readonly advice?: string;
};

/** Returns the exit code for an error. */
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

/** Formats an error as lines for standard error. */
export function describeError({message, faults = [], advice}: CommandError): string[] {
	const faultLines = faults.map(fault => `  ${fault.path}: ${fault.message}`);
	return [`cairnbank: ${message}`, ...faultLines, ...(advice === undefined ? [] : [`Next: ${advice}`])];
}
