/** `cairnbank validate`: validates a file without publishing it. */
import {ok} from 'neverthrow';
import {z} from 'zod';
import {readChange} from '../../input/read-change.js';
import {defineCommand} from '../../kernel/command.js';
import {describeChange} from '../../rendering/describe-change.js';

export const validateCommand = defineCommand({
	usage: 'validate <file>',
	summary: 'Validate an inventory or rules file without publishing it; no settings are needed',
	options: [],
	examples: ['cairnbank validate samples/authority/inventory.json'],
	optionsSchema: z.strictObject({}),
	async run({environment}, [file]) {
		const change = await readChange(environment, file!);
		return change.andThen(value => {
			environment.output.line(`${file}: valid, ${describeChange(value)}`);
			return ok();
		});
	},
});
