/** How much the daemon logs. */
import {z} from 'zod';

export const logLevels = ['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

export const loggingSettingsSchema = z.strictObject({
	/** Lines below this level are left out. */
	level: z.enum(logLevels).default('info'),
});

export type LogLevel = typeof logLevels[number];
export type LoggingSettings = z.infer<typeof loggingSettingsSchema>;
