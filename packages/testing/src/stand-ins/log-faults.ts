/** Faults of the log stand-in that tests can set while it runs. */
import {z} from 'zod';

export const logFaultsSchema = z.strictObject({
	/** `refuse` closes the port, `unavailable` answers with status 503, `hang` accepts requests and never answers. */
	down: z.enum(['no', 'refuse', 'unavailable', 'hang']).default('no'),
	/** Delay before a read or append takes effect; an append takes effect even if its client has disconnected. */
	delayMs: z.number().min(0).default(0),
	/** Number of following appends that take effect without acknowledgement: their connections are closed. */
	loseAcknowledgements: z.int().min(0).default(0),
	/** Limit beyond which appends are answered with status 429; unlimited if absent. */
	appendsPerSecond: z.int().min(0).optional(),
});

export type LogFaults = z.infer<typeof logFaultsSchema>;
export type LogFaultsPatch = Partial<LogFaults>;
