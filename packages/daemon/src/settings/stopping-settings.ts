/** Settings of the graceful stop. */
import {z} from 'zod';

export const stoppingSettingsSchema = z.strictObject({
	/** Time for the leaving state to reach the instances that still give this instance's address to callers. */
	spreadMs: z.int().min(0).max(60_000).default(2000),
	/** Maximum wait for requests in flight after the last address answer has expired. */
	maximumDrainMs: z.int().min(0).default(600_000),
});

export type StoppingSettings = z.infer<typeof stoppingSettingsSchema>;
