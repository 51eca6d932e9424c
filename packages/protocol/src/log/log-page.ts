/** A page of records, the answer to one read of the platform's log. */
import {z} from 'zod';
import {logRecordSchema} from './log-record.js';

export const logPageSchema = z.object({
	records: z.array(logRecordSchema),
	/** Offset of the oldest record that the log still has; `endOffset + 1` in an empty stream. */
	earliestOffset: z.int().min(1),
	/** Offset of the newest record; 0 in a stream that never had any record. */
	endOffset: z.int().min(0),
});

export type LogPage = z.infer<typeof logPageSchema>;
