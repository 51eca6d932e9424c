/** `cairnbank show`: prints the configuration in force. */
import {storeConfiguration, type ConfigurationState} from '@cairnbank/core/configuration';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {defineCommand} from '../../kernel/command.js';
import {readConfiguration, type SourcedConfiguration} from './configuration-source.js';
import {describeLastChange, renderInventory, renderRules} from './configuration-view.js';

const partSchema = z.enum(['all', 'inventory', 'rules', 'drained']);

type Part = z.infer<typeof partSchema>;

export const showCommand = defineCommand({
	usage: 'show [part]',
	summary: 'Show the configuration in force: inventory, rules, drained, or all (default)',
	options: [
		{flags: '--from-instance', description: 'Read from an instance instead of the log; this is automatic while the log is unavailable'},
		{flags: '--json', description: 'Print JSON; an inventory or rules can be published again unchanged'},
	],
	examples: ['cairnbank show', 'cairnbank show rules --json > rules.json'],
	optionsSchema: z.strictObject({
		fromInstance: z.boolean().optional(),
		json: z.boolean().optional(),
	}),
	async run(session, [named = 'all'], {fromInstance, json}) {
		const part = partSchema.safeParse(named);
		if (!part.success) {
			return err({type: 'wrong-use', message: `${named} is no part of a configuration`, advice: `use one of ${partSchema.options.join(', ')}`});
		}

		const configuration = await readConfiguration(session, fromInstance);
		return configuration.andThen(sourced => {
			session.environment.output.line(json ? toJson(sourced.state, part.data) : toText(sourced, part.data));
			return ok();
		});
	},
});

function toJson(state: ConfigurationState, part: Part): string {
	const {throughOffset, acceptedOffset, inventory, rules, drained} = storeConfiguration(state);
	switch (part) {
		case 'all': {
			return JSON.stringify({
				throughOffset, acceptedOffset, inventory, rules, drained,
			}, undefined, '\t');
		}

		case 'inventory': {
			return JSON.stringify(inventory, undefined, '\t');
		}

		case 'rules': {
			return JSON.stringify(rules, undefined, '\t');
		}

		case 'drained': {
			return JSON.stringify(drained, undefined, '\t');
		}
	}
}

function toText({source, state}: SourcedConfiguration, part: Part): string {
	const head = `offset ${state.acceptedOffset} in force, according to ${source}`;
	switch (part) {
		case 'all': {
			return [head, inventoryText(state), rulesText(state), drainedText(state)].join('\n\n');
		}

		case 'inventory': {
			return `${head}\n\n${inventoryText(state)}`;
		}

		case 'rules': {
			return `${head}\n\n${rulesText(state)}`;
		}

		case 'drained': {
			return `${head}\n\n${drainedText(state)}`;
		}
	}
}

function inventoryText(state: ConfigurationState): string {
	return `Inventory, ${describeLastChange(state, 'inventory')}\n${renderInventory(state.inventory, state.drained)}`;
}

function rulesText(state: ConfigurationState): string {
	return `Rules, ${describeLastChange(state, 'rules')}\n${renderRules(state.rules)}`;
}

function drainedText({drained}: ConfigurationState): string {
	return drained.size === 0 ? 'No upstream is drained by operators' : `Drained by operators: ${[...drained].sort().join(', ')}`;
}
