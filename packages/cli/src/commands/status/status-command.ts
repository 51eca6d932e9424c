/** `cairnbank status`: shows instances and upstreams as one instance sees them. */
import {addressSchema} from '@cairnbank/core';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {firstAnswer} from '../../kernel/first-answer.js';
import {renderStatus} from './status-view.js';

export const statusCommand = defineCommand({
	usage: 'status',
	summary: 'Show instances and upstreams as one instance sees them',
	options: [
		{flags: '--instance <address>', description: 'Admin address of the instance to query (default: the first that answers)'},
		{flags: '--json', description: 'Print one JSON object'},
	],
	examples: ['cairnbank status', 'cairnbank status --instance 127.0.0.1:7300 --json'],
	optionsSchema: z.strictObject({
		instance: addressSchema.optional(),
		json: z.boolean().optional(),
	}),
	async run(session, _positional, {instance, json}) {
		const clients = await (instance === undefined ? session.instances() : session.instance(instance).map(client => [client]));
		if (clients.isErr()) {
			return err(clients.error);
		}

		const answer = await firstAnswer(clients.value, client => client.status());
		return answer.andThen(({value}) => {
			session.environment.output.line(json ? JSON.stringify(value) : renderStatus(value));
			return ok();
		});
	},
});
