/** A peer's report that an incarnation was unreachable. */
import {z} from 'zod';
import {incarnationIdSchema} from '../model/ids.js';

export const suspicionSchema = z.object({
	incarnation: incarnationIdSchema,
	/** Last heartbeat known when the exchange failed; one that is higher by more than the margin refutes the suspicion. */
	heartbeat: z.int().min(0),
});

export type Suspicion = z.infer<typeof suspicionSchema>;
