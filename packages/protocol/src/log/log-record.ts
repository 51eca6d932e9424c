/** One record of the platform's log, as returned by a read. */
import {z} from 'zod';

/** Offset before the first record of a stream. */
export const offsetBeforeFirst = 0;

export const logRecordSchema = z.object({
	/** Position in the stream; the first record has offset 1. */
	offset: z.int().min(1),
	appendedAt: z.iso.datetime(),
	/** The appended value; each reader validates it against its own schema. */
	value: z.unknown(),
});

export type LogRecord = z.infer<typeof logRecordSchema>;
