/** A recently applied change, kept so that a second copy of its record is recognized as a duplicate. */
import {z} from 'zod';
import {recordIdSchema} from '../model/ids.js';

/** Number of changes kept by id. Copies of older changes have no effect either, because their base offset is outdated. */
export const maximumRecentChanges = 64;

export const recentChangeSchema = z.strictObject({
	id: recordIdSchema,
	offset: z.int().min(1),
	verdict: z.enum(['accepted', 'unchanged', 'conflict', 'invalid']),
});

export type RecentChange = Readonly<z.infer<typeof recentChangeSchema>>;
