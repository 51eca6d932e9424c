/** Why a daemon cannot start with the settings that it was given. */
import {type ValidationFault} from '@cairnbank/core';

export type SettingsError =
	| {readonly type: 'missing'}
	| {readonly type: 'unreadable'; readonly source: string; readonly message: string}
	| {readonly type: 'not-json'; readonly source: string; readonly message: string}
	| {readonly type: 'invalid'; readonly source: string; readonly faults: readonly ValidationFault[]};

/** The error as lines for people, each fault at its path. */
export function describeSettingsError(error: SettingsError): string[] {
	switch (error.type) {
		case 'missing': {
			return ['no settings: give --settings <file|-> or set CAIRNBANK_SETTINGS to the JSON itself'];
		}

		case 'unreadable': {
			return [`cannot read the settings from ${error.source}: ${error.message}`];
		}

		case 'not-json': {
			return [`the settings from ${error.source} are not JSON: ${error.message}`];
		}

		case 'invalid': {
			const lines = error.faults.map(fault => `  ${fault.path}: ${fault.message}`);
			return [`the settings from ${error.source} have ${error.faults.length} fault(s):`, ...lines];
		}
	}
}
