/** Schemas of the records in the configuration stream. */
import {z} from 'zod';
import {changeSchema} from '../model/change.js';
import {authorSchema, recordIdSchema} from '../model/ids.js';

/** Name of the stream in the platform's log that holds the configuration. */
export const configurationStream = 'configuration';

/** A change that an operator published. */
export const changeRecordSchema = z.strictObject({
	type: z.literal('change'),
	id: recordIdSchema,
	/** Offset through which the author had read the log when making the change. */
	baseOffset: z.int().min(0),
	author: authorSchema,
	change: changeSchema,
});

/** A snapshot of the whole configuration, which makes older records unnecessary. */
export const snapshotRecordSchema = z.strictObject({
	type: z.literal('snapshot'),
	id: recordIdSchema,
	throughOffset: z.int().min(0),
	/** Hash of `state` at the time of the append. */
	hash: z.string().length(64),
	/** Parsed only when a reader needs it. */
	state: z.unknown(),
});

export const configurationRecordSchema = z.discriminatedUnion('type', [changeRecordSchema, snapshotRecordSchema]);

export type ChangeRecord = z.infer<typeof changeRecordSchema>;
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
export type ConfigurationRecord = z.infer<typeof configurationRecordSchema>;

export {storedConfigurationSchema} from './stored-configuration.js';
