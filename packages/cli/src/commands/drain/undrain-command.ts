/** `cairnbank undrain`: brings a drained upstream back to work. */
import {defineCommand} from '../../kernel/command.js';
import {drainOptions, drainOptionsSchema} from './drain-command.js';
import {publishDrain} from './publish-drain.js';

export const undrainCommand = defineCommand({
	usage: 'undrain <upstream>',
	summary: 'Give a drained upstream new work again',
	options: drainOptions,
	examples: ['cairnbank undrain disbursement-03'],
	optionsSchema: drainOptionsSchema,
	run: async (session, [upstream], options) => publishDrain(session, {upstream, draining: false}, options),
});
