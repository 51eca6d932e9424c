/** The graceful stop. */
import {z} from 'zod';

export const stoppingSettingsSchema = z.strictObject({
	/** Time for the news of leaving to reach the instances that still name this one to callers. */
	spreadMs: z.int().min(0).max(60_000).default(2000),
	/** Longest wait for requests in flight after the last address answer has run out. */
	maximumDrainMs: z.int().min(0).default(600_000),
});

export type StoppingSettings = z.infer<typeof stoppingSettingsSchema>;
