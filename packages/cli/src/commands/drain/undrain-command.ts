/** `cairnbank undrain`: allows new requests to a drained upstream again. */
import {defineCommand} from '../../kernel/command.js';
import {drainOptions, drainOptionsSchema} from './drain-command.js';
import {publishDrain} from './publish-drain.js';

export const undrainCommand = defineCommand({
	usage: 'undrain <upstream>',
	summary: 'Send a drained upstream new requests again',
	options: drainOptions,
	examples: ['cairnbank undrain disbursement-03'],
	optionsSchema: drainOptionsSchema,
	run: async (session, [upstream], options) => publishDrain(session, {upstream, draining: false}, options),
});
