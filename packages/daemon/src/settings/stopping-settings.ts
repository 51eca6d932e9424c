/** The graceful stop. */
import {z} from 'zod';

export const stoppingSettingsSchema = z.strictObject({
	/** Longest wait for requests in flight after the last address answer has run out. */
	maximumDrainMs: z.int().min(0).default(600_000),
});

export type StoppingSettings = z.infer<typeof stoppingSettingsSchema>;
