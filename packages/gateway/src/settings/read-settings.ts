/** Reads and validates the settings of an instance. */
import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';
import {settingsSchema, type Settings} from './settings.js';

/** All faults, each with the path of the field that it concerns. */
export type SettingsError = {readonly faults: readonly string[]};

export function parseSettings(text: string): Result<Settings, SettingsError> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		return err({faults: [`not JSON: ${(error as Error).message}`]});
	}

	const parsed = v.safeParse(settingsSchema, json);
	return parsed.success
		? ok(parsed.output)
		: err({faults: parsed.issues.map(issue => `${v.getDotPath(issue) ?? '(whole file)'}: ${issue.message}`)});
}

export async function readSettings(path: string): Promise<Result<Settings, SettingsError>> {
	try {
		return parseSettings(await readFile(path, 'utf8'));
	} catch (error) {
		return err({faults: [`cannot read ${path}: ${(error as Error).message}`]});
	}
}
