/** Reads and validates the command line's settings. */
import {toValidationFaults} from '@cairnbank/core';
import {
	err, errAsync, ok, okAsync, type ResultAsync,
} from 'neverthrow';
import {parseJson, readInput} from '../input/read-input.js';
import {type CommandError} from '../kernel/command-error.js';
import {type Environment} from '../kernel/environment.js';
import {cliSettingsSchema, type CliSettings} from './cli-settings.js';

/** Environment variable that holds the settings as JSON text. */
export const cliSettingsVariable = 'CAIRNBANK_CLI_SETTINGS';

type SourceText = {
	readonly source: string;
	readonly json: string;
};

/** Reads the settings from the file if one is given, else from the environment variable. */
export function readCliSettings(environment: Environment, file?: string): ResultAsync<CliSettings, CommandError> {
	return readSource(environment, file)
		.andThen(({source, json}) => parseJson(source, json).andThen(value => {
			const parsed = cliSettingsSchema.safeParse(value);
			if (parsed.success) {
				return ok(parsed.data);
			}

			const faults = toValidationFaults(parsed.error);
			return err({type: 'wrong-use' as const, message: `the settings from ${source} have ${faults.length} fault(s)`, faults});
		}));
}

function readSource(environment: Environment, file?: string): ResultAsync<SourceText, CommandError> {
	if (file !== undefined) {
		return readInput(environment, file).map(json => ({source: file, json}));
	}

	const json = environment.variables[cliSettingsVariable];
	return json === undefined
		? errAsync({
			type: 'wrong-use',
			message: 'no settings',
			advice: `pass --settings <file>, or set ${cliSettingsVariable} to the settings as JSON`,
		})
		: okAsync({source: cliSettingsVariable, json});
}
