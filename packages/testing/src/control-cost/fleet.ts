/** A fleet of real daemons with an inventory of the wanted size, most of it without processes behind it. */
import {setTimeout as delay} from 'node:timers/promises';
import {changeSchema, type Change} from '@cairnbank/core';
import {Deployment} from '../harness/deployment.js';
import type {ListedInstance} from '../stand-ins/instance-list-stand-in.js';

export type FleetOptions = {
	readonly daemons: number;
	readonly upstreams: number;
	/** Upstreams with a process behind them. */
	readonly realUpstreams: number;
	readonly listLagMs: number;
};

const availabilityZones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const upstreamsPerService = 24;
const settleMs = 8000;
const defaultSlots = 4;
const firstPort = 20_000;
const portsPerHost = 1000;

/** Settings as in production, where those of the harness are made for short tests. */
const settings = {
	log: {pollWaitMs: 10_000},
	instanceList: {pollIntervalMs: 1000},
	addresses: {ttlMs: 5000, maximumAddresses: 64},
};

function withoutProcesses(count: number) {
	return Array.from({length: count}, (_, index) => ({
		id: `listed-${index}`,
		address: `127.9.0.1:${firstPort + (index % portsPerHost)}`,
		availabilityZone: availabilityZones[index % availabilityZones.length]!,
		slots: defaultSlots,
		connections: 200,
	}));
}

function inventoryOf(deployment: Deployment, upstreams: ReturnType<typeof withoutProcesses>): Change {
	const inventory = deployment.inventory();
	const services = inventory.kind === 'inventory' ? inventory.services : [];
	const listed = Array.from({length: Math.ceil(upstreams.length / upstreamsPerService)}, (_, index) => ({
		id: `listed-service-${index}`,
		upstreams: upstreams.slice(index * upstreamsPerService, (index + 1) * upstreamsPerService),
	}));
	return changeSchema.parse({kind: 'inventory', services: [...services, ...listed]});
}

export type Fleet = {
	readonly deployment: Deployment;
	/** The inventory, with the first upstream without a process at this many slots. */
	inventory(slots: number): Change;
};

/** Starts the fleet, lists everything, publishes the inventory and lets it settle. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
	const deployment = await Deployment.start({
		services: [{id: 'ledger', upstreams: options.realUpstreams}], daemons: options.daemons, availabilityZones, settings,
	});
	const others = withoutProcesses(options.upstreams - options.realUpstreams);
	const listed: ListedInstance[] = [
		...deployment.upstreams.map(upstream => ({id: upstream.options.id, address: upstream.address, availabilityZone: upstream.options.availabilityZone})),
		...others,
	].map(({id, address, availabilityZone}) => ({
		id, role: 'upstream', address, availabilityZone, state: 'live',
	}));
	for (const instance of listed) {
		deployment.list.put(instance);
	}

	const inventory = (slots: number) => inventoryOf(deployment, others.map((upstream, index) => index === 0 ? {...upstream, slots} : upstream));
	await deployment.publish(inventory(defaultSlots));
	deployment.list.lagMs = options.listLagMs;
	await delay(settleMs);
	return {deployment, inventory};
}
