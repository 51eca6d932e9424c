/** Settings of the daemon's log output. */
import {z} from 'zod';

export const logLevels = ['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

export const loggingSettingsSchema = z.strictObject({
	/** Minimum level of the lines that are written. */
	level: z.enum(logLevels).default('info'),
});

export type LogLevel = typeof logLevels[number];
export type LoggingSettings = z.infer<typeof loggingSettingsSchema>;
