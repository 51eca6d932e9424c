/** `cairnbank drain`: takes an upstream out of new work. */
import {authorSchema} from '@cairnbank/core';
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {publishDrain} from './publish-drain.js';

export const drainOptionsSchema = z.strictObject({
	author: authorSchema.optional(),
	waitMs: z.int().min(1).optional(),
	json: z.boolean().optional(),
});

export const drainOptions = [
	{flags: '--author <name>', description: 'Publish under this name'},
	{flags: '--wait-ms <ms>', description: 'Wait until every instance has the change in force'},
	{flags: '--json', description: 'Print the result as one JSON object'},
];

export const drainCommand = defineCommand({
	usage: 'drain <upstream>',
	summary: 'Send an upstream no new work; requests that it is running end normally',
	options: drainOptions,
	examples: ['cairnbank drain disbursement-03 --wait-ms 5000'],
	optionsSchema: drainOptionsSchema,
	run: async (session, [upstream], options) => publishDrain(session, {upstream, draining: true}, options),
});

