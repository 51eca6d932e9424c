/** `cairnbank drain`: stops new requests to an upstream, or stops an instance gracefully. */
import {addressSchema, authorSchema} from '@cairnbank/core';
import {err} from 'neverthrow';
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {drainInstance} from './drain-instance.js';
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
	usage: 'drain [upstream]',
	summary: 'Send an upstream no new requests, or stop an instance; requests in flight complete normally',
	options: [
		...drainOptions,
		{flags: '--instance <address>', description: 'Admin address of an instance to stop gracefully, instead of an upstream'},
	],
	examples: ['cairnbank drain disbursement-03 --wait-ms 5000', 'cairnbank drain --instance 127.0.0.1:7300'],
	optionsSchema: drainOptionsSchema.extend({instance: addressSchema.optional()}),
	async run(session, [upstream], {instance, ...options}) {
		if ((upstream === undefined) === (instance === undefined)) {
			return err({type: 'wrong-use', message: 'name either an upstream or --instance <address>'});
		}

		return instance === undefined
			? publishDrain(session, {upstream, draining: true}, options)
			: drainInstance(session, instance);
	},
});

