/** Reads the settings from a file, from standard input or from the environment. */
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {toValidationFaults} from '@cairnbank/core';
import {
	ResultAsync, err, errAsync, ok, okAsync, type Result,
} from 'neverthrow';
import {type SettingsError} from './settings-error.js';
import {settingsSchema, type Settings} from './settings.js';

/** Environment variable that holds the settings' JSON itself, as instances have no disks. */
export const settingsVariable = 'CAIRNBANK_SETTINGS';

const standardInputMark = '-';

export type SettingsSources = {
	/** Path of a file, or `-` for standard input. It goes before the environment. */
	readonly file?: string;
	readonly environment: NodeJS.ProcessEnv;
	readonly standardInput: NodeJS.ReadableStream;
};

type SourceText = {
	readonly source: string;
	readonly json: string;
};

/** Finds, reads and checks the settings. */
export function loadSettings(sources: SettingsSources): ResultAsync<Settings, SettingsError> {
	return readSource(sources).andThen(source => parseSettings(source));
}

/** Checks settings that are already at hand as JSON text. */
export function parseSettings({source, json}: SourceText): Result<Settings, SettingsError> {
	return parseJson(source, json).andThen(value => {
		const parsed = settingsSchema.safeParse(value);
		return parsed.success ? ok(parsed.data) : err({type: 'invalid' as const, source, faults: toValidationFaults(parsed.error)});
	});
}

function readSource({file, environment, standardInput}: SettingsSources): ResultAsync<SourceText, SettingsError> {
	if (file === standardInputMark) {
		return readText('standard input', text(standardInput));
	}

	if (file !== undefined) {
		return readText(file, readFile(file, 'utf8'));
	}

	const json = environment[settingsVariable];
	return json === undefined ? errAsync({type: 'missing'}) : okAsync({source: settingsVariable, json});
}

function readText(source: string, reading: Promise<string>): ResultAsync<SourceText, SettingsError> {
	return ResultAsync.fromPromise(reading, error => ({type: 'unreadable' as const, source, message: (error as Error).message}))
		.map(json => ({source, json}));
}

function parseJson(source: string, json: string): Result<unknown, SettingsError> {
	try {
		return ok(JSON.parse(json));
	} catch (error) {
		return err({type: 'not-json', source, message: (error as Error).message});
	}
}
