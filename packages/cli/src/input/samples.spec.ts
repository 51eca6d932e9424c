import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {inventorySchema, rulesSchema} from '@cairnbank/core';
import {cliSettingsSchema} from '../settings/cli-settings.js';

type SampleSize = {
	readonly user: string;
	readonly availabilityZones: readonly string[];
	readonly upstreams: Readonly<Record<string, number>>;
	readonly slots: number;
	readonly connections: number;
	readonly nonIdempotentClass: string;
};

const samples: readonly SampleSize[] = [
	{
		user: 'authority',
		availabilityZones: ['lautoka', 'nadi', 'sigatoka'],
		upstreams: {disbursement: 15, records: 10},
		slots: 4,
		connections: 200,
		nonIdempotentClass: 'payment-instruction',
	},
	{
		user: 'foundation',
		availabilityZones: ['giza', 'maadi', 'nasr'],
		upstreams: {ledger: 20, 'guardian-portal': 15},
		slots: 3,
		connections: 250,
		nonIdempotentClass: 'deposit',
	},
];

async function readSample(user: string, file: string): Promise<unknown> {
	const url = new URL(`../../../../samples/${user}/${file}`, import.meta.url);
	return JSON.parse(await readFile(url, 'utf8'));
}

describe('samples', () => {
	for (const {user, availabilityZones, upstreams, slots, connections, nonIdempotentClass} of samples) {
		describe(user, () => {
			it('should have an inventory of the user\'s current size', async () => {
				const {services} = inventorySchema.parse(await readSample(user, 'inventory.json'));
				const all = services.flatMap(service => service.upstreams);
				assert.deepEqual(Object.fromEntries(services.map(service => [service.id, service.upstreams.length])), upstreams);
				assert.deepEqual([...new Set(all.map(upstream => upstream.availabilityZone))].sort(), availabilityZones);
				assert.ok(all.every(upstream => upstream.slots === slots && upstream.connections === connections));
			});

			it('should have rules that name only services of the inventory', async () => {
				const {classes, services} = rulesSchema.parse(await readSample(user, 'rules.json'));
				const named = [...classes.map(({match}) => match.service), ...services.map(({service}) => service)];
				assert.ok(named.every(service => service !== undefined && service in upstreams));
			});

			it('should give only payout checks the highest priority', async () => {
				const {classes} = rulesSchema.parse(await readSample(user, 'rules.json'));
				const first = classes.filter(({priority}) => priority === 0).map(({id}) => id);
				assert.deepEqual(first, ['payout-check']);
			});

			it('should mark the request class that moves money as non-idempotent', async () => {
				const {classes} = rulesSchema.parse(await readSample(user, 'rules.json'));
				assert.equal(classes.find(({id}) => id === nonIdempotentClass)?.idempotent, false);
			});

			it('should have valid settings for the command line', async () => {
				assert.equal(cliSettingsSchema.safeParse(await readSample(user, 'cli-settings.json')).success, true);
			});
		});
	}
});
