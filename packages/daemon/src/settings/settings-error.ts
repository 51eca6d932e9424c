/** Errors of reading the settings, which prevent the daemon from starting. */
import {type ValidationFault} from '@cairnbank/core';

export type SettingsError =
	| {readonly type: 'missing'}
	| {readonly type: 'unreadable'; readonly source: string; readonly message: string}
	| {readonly type: 'not-json'; readonly source: string; readonly message: string}
	| {readonly type: 'invalid'; readonly source: string; readonly faults: readonly ValidationFault[]};

/** Formats the error as lines of text, with one line per fault. */
export function describeSettingsError(error: SettingsError): string[] {
	switch (error.type) {
		case 'missing': {
			return ['no settings: pass --settings <file|-> or set CAIRNBANK_SETTINGS to the settings as JSON'];
		}

		case 'unreadable': {
			return [`cannot read the settings from ${error.source}: ${error.message}`];
		}

		case 'not-json': {
			return [`the settings from ${error.source} are not valid JSON: ${error.message}`];
		}

		case 'invalid': {
			const lines = error.faults.map(fault => `  ${fault.path}: ${fault.message}`);
			return [`the settings from ${error.source} have ${error.faults.length} fault(s):`, ...lines];
		}
	}
}
