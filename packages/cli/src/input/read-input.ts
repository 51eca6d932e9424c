/** Reads files that are named on the command line. */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {type CommandError} from '../kernel/command-error.js';
import {type Environment} from '../kernel/environment.js';

/** Reads the text of a file, or of standard input for `-`. */
export function readInput(environment: Environment, file: string): ResultAsync<string, CommandError> {
	return ResultAsync.fromPromise(environment.readText(file), error => ({
		type: 'wrong-use' as const,
		message: `cannot read ${file}: ${(error as Error).message}`,
	}));
}

/** Parses JSON text. Error messages name `source` as its origin. */
export function parseJson(source: string, json: string): Result<unknown, CommandError> {
	try {
		return ok(JSON.parse(json));
	} catch (error) {
		return err({type: 'wrong-use', message: `${source} is not JSON: ${(error as Error).message}`});
	}
}
