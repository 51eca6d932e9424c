/** A change that was folded lately, kept so that a second copy of it is told from a new one. */
import {z} from 'zod';
import {recordIdSchema} from '../model/ids.js';

/** Records remembered by id. Older copies are still harmless: their base offset gives them away. */
export const maximumRecentChanges = 64;

export const recentChangeSchema = z.strictObject({
	id: recordIdSchema,
	offset: z.int().min(1),
	verdict: z.enum(['accepted', 'unchanged', 'conflict', 'invalid']),
});

export type RecentChange = Readonly<z.infer<typeof recentChangeSchema>>;
