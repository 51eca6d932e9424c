/** Everything that a daemon is told at its start, with defaults beside each field. */
import {z} from 'zod';
import {instanceListSettingsSchema} from './instance-list-settings.js';
import {instanceSettingsSchema} from './instance-settings.js';
import {limitSettingsSchema} from './limit-settings.js';
import {listenerSettingsSchema} from './listener-settings.js';
import {logSettingsSchema} from './log-settings.js';
import {loggingSettingsSchema} from './logging-settings.js';
import {secretSettingsSchema} from './secret-settings.js';
import {timeoutSettingsSchema} from './timeout-settings.js';
import {tracingSettingsSchema} from './tracing-settings.js';

export const settingsSchema = z.strictObject({
	instance: instanceSettingsSchema,
	listeners: listenerSettingsSchema,
	log: logSettingsSchema,
	instanceList: instanceListSettingsSchema,
	secrets: secretSettingsSchema,
	tracing: tracingSettingsSchema.prefault({}),
	logging: loggingSettingsSchema.prefault({}),
	limits: limitSettingsSchema.prefault({}),
	timeouts: timeoutSettingsSchema.prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;

/** Settings as they are written in JSON, before defaults are filled in. */
export type SettingsInput = z.input<typeof settingsSchema>;
