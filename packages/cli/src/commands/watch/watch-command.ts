/** `cairnbank watch`: each instance's configuration in force, live. */
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {defaultIntervalMs, watchUntil} from './watch-until.js';

export const watchCommand = defineCommand({
	usage: 'watch',
	summary: 'Show which configuration each instance has in force, and every change of that',
	options: [
		{flags: '--until <offset>', description: 'End once every instance has this offset in force'},
		{flags: '--timeout-ms <ms>', description: 'End after this time; exit code 4 if --until was not reached'},
		{flags: '--interval-ms <ms>', description: `Time between two rounds of questions (default: ${defaultIntervalMs})`},
		{flags: '--json', description: 'Print one JSON object a line'},
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
