/** Reads and validates a file with an inventory, rules or a drain change. */
import {changeSchema, toValidationFaults, type Change} from '@cairnbank/core';
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {type CommandError} from '../kernel/command-error.js';
import {type Environment} from '../kernel/environment.js';
import {parseJson, readInput} from './read-input.js';

/** Returns the change in a file, or an error that lists all of its faults. */
export function readChange(environment: Environment, file: string): ResultAsync<Change, CommandError> {
	return readInput(environment, file)
		.andThen(json => parseJson(file, json))
		.andThen(value => checkChange(file, value));
}

function checkChange(file: string, value: unknown): Result<Change, CommandError> {
	const parsed = changeSchema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const faults = toValidationFaults(parsed.error);
	return err({
		type: 'wrong-use',
		message: `${file} has ${faults.length} fault(s)`,
		faults,
		advice: 'correct the file; nothing was published',
	});
}
