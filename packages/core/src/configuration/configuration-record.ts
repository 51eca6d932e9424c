/** Records of the configuration stream. */
import {z} from 'zod';
import {changeSchema} from '../model/change.js';
import {authorSchema, recordIdSchema} from '../model/ids.js';

/** Stream of the platform's log that carries the configuration. */
export const configurationStream = 'configuration';

/** An operator's change. */
export const changeRecordSchema = z.strictObject({
	type: z.literal('change'),
	id: recordIdSchema,
	/** Offset through which the author had read the log. */
	baseOffset: z.int().min(0),
	author: authorSchema,
	change: changeSchema,
});

/** The whole configuration, so that older records are no longer needed. */
export const snapshotRecordSchema = z.strictObject({
	type: z.literal('snapshot'),
	id: recordIdSchema,
	throughOffset: z.int().min(0),
	/** Hash of `state` as it was appended. */
	hash: z.string().length(64),
	/** Left unparsed until a reader needs it. */
	state: z.unknown(),
});

export const configurationRecordSchema = z.discriminatedUnion('type', [changeRecordSchema, snapshotRecordSchema]);

export type ChangeRecord = z.infer<typeof changeRecordSchema>;
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

export {storedConfigurationSchema} from './stored-configuration.js';
