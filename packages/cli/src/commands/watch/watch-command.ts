/** `cairnbank watch`: follows the configuration in force on each instance. */
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {defaultIntervalMs, watchUntil} from './watch-until.js';

export const watchCommand = defineCommand({
	usage: 'watch',
	summary: 'Show the configuration in force on each instance, and again whenever it changes',
	options: [
		{flags: '--until <offset>', description: 'End once every instance has this offset in force'},
		{flags: '--timeout-ms <ms>', description: 'End after this time, with exit code 4 if --until was not reached'},
		{flags: '--interval-ms <ms>', description: `Interval between polls of the instances (default: ${defaultIntervalMs})`},
		{flags: '--json', description: 'Print one JSON object per line'},
	],
	examples: ['cairnbank watch', 'cairnbank watch --until 14 --timeout-ms 5000 --json'],
	optionsSchema: z.strictObject({
		until: z.int().min(0).optional(),
		timeoutMs: z.int().min(1).optional(),
		intervalMs: z.int().min(10).optional(),
		json: z.boolean().optional(),
	}),
	run: async (session, _positional, {until, ...options}) => watchUntil(session, {offset: until, ...options}),
});
