/** Reads the settings from a file, from standard input or from the environment. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {toValidationFaults} from '@cairnbank/core';
import {
	ResultAsync, err, errAsync, ok, okAsync, type Result,
} from 'neverthrow';
import {type SettingsError} from './settings-error.js';
import {settingsSchema, type Settings} from './settings.js';

/** Environment variable that contains the settings as JSON, because instances have no disks. */
export const settingsVariable = 'CAIRNBANK_SETTINGS';

const standardInputPath = '-';

export type SettingsSource = {
	/** Path of a file, or `-` for standard input. It takes precedence over the environment variable. */
	readonly file?: string;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Defaults to the standard input of the process; specs pass another stream. */
	readonly standardInput?: NodeJS.ReadableStream;
};

type SourceText = {
	readonly source: string;
	readonly json: string;
};

/** Reads and validates the settings. */
export function readSettings(from: SettingsSource): ResultAsync<Settings, SettingsError> {
	return readSource(from).andThen(source => parseSettings(source));
}

function readSource({file, environment, standardInput}: SettingsSource): ResultAsync<SourceText, SettingsError> {
	if (file === standardInputPath) {
		return readText('standard input', text(standardInput ?? process.stdin));
	}

	if (file !== undefined) {
		return readText(file, readFile(file, 'utf8'));
	}

	const json = environment[settingsVariable];
	return json === undefined ? errAsync({type: 'missing'}) : okAsync({source: settingsVariable, json});
}

function readText(source: string, content: Promise<string>): ResultAsync<SourceText, SettingsError> {
	return ResultAsync.fromPromise(content, error => ({type: 'unreadable' as const, source, message: (error as Error).message}))
		.map(json => ({source, json}));
}

function parseSettings({source, json}: SourceText): Result<Settings, SettingsError> {
	return parseJson(source, json).andThen(value => {
		const parsed = settingsSchema.safeParse(value);
		return parsed.success ? ok(parsed.data) : err({type: 'invalid' as const, source, faults: toValidationFaults(parsed.error)});
	});
}

function parseJson(source: string, json: string): Result<unknown, SettingsError> {
	try {
		return ok(JSON.parse(json));
	} catch (error) {
		return err({type: 'not-json', source, message: (error as Error).message});
	}
}
