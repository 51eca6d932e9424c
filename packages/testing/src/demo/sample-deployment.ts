/** Creates a deployment of the sample inventory: a stand-in for each upstream, and daemons in two availability zones. */
import {readFile} from 'node:fs/promises';
import {inventorySchema, rulesSchema, type Rules} from '@cairnbank/core';
import {Deployment} from '../harness/deployment.js';

const samples = new URL('../../../../samples/authority/', import.meta.url);
const daemonCount = 3;
const availabilityZones = ['lautoka', 'nadi'];
const serviceMs = 5;

async function readSample(name: string): Promise<unknown> {
	return JSON.parse(await readFile(new URL(name, samples), 'utf8')) as unknown;
}

export async function readSampleRules(): Promise<Rules> {
	return rulesSchema.parse(await readSample('rules.json'));
}

/** Starts the stand-ins and daemons without publishing the inventory and rules. */
export async function startSampleDeployment(): Promise<Deployment> {
	const inventory = inventorySchema.parse(await readSample('inventory.json'));
	const services = inventory.services.map(({id, upstreams}) => ({
		id,
		upstreams: upstreams.map(({id: upstream, availabilityZone, slots}, index) => ({
			id: upstream, availabilityZone, slots, serviceMs, seed: index,
		})),
	}));
	return Deployment.start({services, daemons: daemonCount, availabilityZones});
}
