/** What can be wrong with the log, switchable while it runs. */
import {z} from 'zod';

export const logFaultsSchema = z.strictObject({
	/** `refuse` closes the port, `unavailable` answers 503, `hang` takes requests and never answers. */
	down: z.enum(['no', 'refuse', 'unavailable', 'hang']).default('no'),
	/** Added before a read or an append takes effect; an append takes effect even if its client has left. */
	delayMs: z.number().min(0).default(0),
	/** This many of the next appends take effect and are not acknowledged: their connection closes. */
	loseAcknowledgements: z.int().min(0).default(0),
	/** Beyond it appends are answered 429; absent means no ceiling. */
	appendsPerSecond: z.int().min(0).optional(),
});

export type LogFaults = z.infer<typeof logFaultsSchema>;
export type LogFaultsPatch = Partial<LogFaults>;
