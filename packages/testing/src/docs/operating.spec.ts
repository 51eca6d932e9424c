import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {cliSettingsSchema, commands} from '@cairnbank/cli';
import {notRunReasons, unknownReasons} from '@cairnbank/core/outcomes';
import {rulesSchema} from '@cairnbank/core';
import {settingsSchema, wireDaemon} from '@cairnbank/daemon';
import {headerNames} from '@cairnbank/protocol/headers';
import {z} from 'zod';

type Schema = {
	readonly properties?: Readonly<Record<string, Schema>>;
	readonly items?: Schema;
	readonly default?: unknown;
};

const page = await readFile(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');

/** Returns all fields that hold a value, with their dotted paths. */
function leafFields(schema: Schema, prefix = ''): Array<readonly [path: string, field: Schema]> {
	return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
		const path = `${prefix}${name}`;
		return field.properties === undefined ? [[path, field] as const] : leafFields(field, `${path}.`);
	});
}

function fieldPaths(schema: Schema): string[] {
	return leafFields(schema).map(([path]) => path);
}

/** Checks whether the field's row in a settings table has its default in the second column. */
function showsDefault(path: string, {default: value}: Schema): boolean {
	const row = page.split('\n').find(line => line.startsWith('|') && line.split('|')[1]!.includes(`\`${path}\``));
	return row?.split('|')[2]!.trim().replaceAll('`', '') === String(value);
}

function pathsOf(schema: z.ZodType): string[] {
	return fieldPaths(z.toJSONSchema(schema, {io: 'input'}) as Schema);
}

function undocumented(names: readonly string[]): string[] {
	return names.filter(name => !page.includes(`\`${name}\``));
}

describe('page docs/OPERATIONS.md', () => {
	it('should name every setting of the daemon and of the command line', () => {
		assert.deepEqual(undocumented([...pathsOf(settingsSchema), ...pathsOf(cliSettingsSchema)]), []);
	});

	it('should show the default of every setting that has one', () => {
		const fields = leafFields(z.toJSONSchema(settingsSchema, {io: 'input'}) as Schema);
		const wrong = fields
			.filter(([, field]) => ['number', 'string', 'boolean'].includes(typeof field.default))
			.filter(([path, field]) => !showsDefault(path, field));
		assert.deepEqual(wrong, []);
	});

	it('should name every command with its options', () => {
		const missing = commands.flatMap(({usage, options}) => [
			...page.includes(`cairnbank ${usage.split(' ')[0]!}`) ? [] : [usage],
			...options.map(({flags}) => flags.split(' ')[0]!).filter(flag => !page.includes(flag)),
		]);
		assert.deepEqual(missing, []);
	});

	it('should name every reason and every header', () => {
		assert.deepEqual(undocumented([...notRunReasons, ...unknownReasons]), []);
		assert.deepEqual(Object.values(headerNames).filter(name => !page.includes(name)), []);
	});

	it('should name every field of the rules', () => {
		const {classes, services} = (z.toJSONSchema(rulesSchema, {io: 'input'}) as Schema).properties!;
		const paths = [...fieldPaths(classes!.items!), ...fieldPaths(services!.items!)];
		const leaves = paths.map(path => path.split('.').at(-1)!).filter(leaf => !['id', 'service'].includes(leaf));
		assert.deepEqual(leaves.filter(leaf => !page.includes(leaf)), []);
	});

	it('should name every metric of cairnbank', async () => {
		const sample = await readFile(new URL('../../../../samples/authority/settings.json', import.meta.url), 'utf8');
		const daemon = wireDaemon(settingsSchema.parse(JSON.parse(sample)));
		const metrics = daemon.metrics.getMetricsAsArray().map(({name}) => name).filter(name => name.startsWith('cairnbank_'));
		assert.ok(metrics.length > 0);
		assert.deepEqual(metrics.filter(name => !page.includes(name)), []);
	});
});
