/** `cairnbank publish`: validates a file, appends it to the log and prints the result. */
import {authorSchema, recordIdSchema} from '@cairnbank/core';
import {err} from 'neverthrow';
import {z} from 'zod';
import {readChange} from '../../input/read-change.js';
import {defineCommand} from '../../kernel/command.js';
import {publishAndReport} from './publish-and-report.js';

export const publishCommand = defineCommand({
	usage: 'publish <file>',
	summary: 'Publish an inventory or rules file ("-" reads standard input)',
	options: [
		{flags: '--author <name>', description: 'Publish under this name'},
		{flags: '--base <offset>', description: 'Report a conflict if the same part changed after this offset (default: the newest)'},
		{flags: '--id <id>', description: 'Id of the record; pass the same id to publish again after the result "unknown"'},
		{flags: '--wait-ms <ms>', description: 'Wait until every instance has the change in force'},
		{flags: '--json', description: 'Print the result as one JSON object'},
	],
	examples: [
		'cairnbank publish samples/authority/inventory.json --wait-ms 5000',
		'cairnbank publish samples/authority/rules.json --base 12',
	],
	optionsSchema: z.strictObject({
		author: authorSchema.optional(),
		base: z.int().min(0).optional(),
		id: recordIdSchema.optional(),
		waitMs: z.int().min(1).optional(),
		json: z.boolean().optional(),
	}),
	async run(session, [file], options) {
		const change = await readChange(session.environment, file!);
		return change.isErr()
			? err(change.error)
			: publishAndReport(session, {change: change.value, baseOffset: options.base, ...options});
	},
});
