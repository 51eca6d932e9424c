/** An inventory of a given size, for measurements: nothing listens at its addresses. */
import {inventorySchema, type Inventory} from '@cairnbank/core';

const firstPort = 10_000;
const zones = ['nasr', 'maadi', 'giza', 'lautoka'];

/** `version` changes one field, so that each version is a change. */
export function sampleInventory(upstreams: number, services: number, version = 0): Inventory {
	const all = Array.from({length: upstreams}, (_, index) => ({
		id: `service-${index % services}-upstream-${index}`,
		address: `127.0.0.1:${firstPort + index}`,
		availabilityZone: zones[index % zones.length],
		slots: index === 0 ? 3 + (version % 2) : 3,
		connections: 250,
	}));
	return inventorySchema.parse({
		kind: 'inventory',
		services: Array.from({length: services}, (_, service) => ({
			id: `service-${service}`, upstreams: all.filter((_, index) => index % services === service),
		})),
	});
}
