/** The result of one of the changes that an instance applied last. */
import {recordIdSchema} from '@cairnbank/core';
import {z} from 'zod';

export const changeStatusSchema = z.object({
	offset: z.int().min(1),
	id: recordIdSchema,
	verdict: z.enum(['accepted', 'unchanged', 'conflict', 'invalid']),
});

export type ChangeStatus = z.infer<typeof changeStatusSchema>;
