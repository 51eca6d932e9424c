/** The operators' inventory of all services and their upstreams. */
import {z} from 'zod';
import {serviceSchema} from './service.js';

const maximumServices = 500;

function findDuplicates(values: readonly string[]): string[] {
	const seen = new Set<string>();
	return values.filter(value => seen.has(value) || !seen.add(value));
}

export const inventorySchema = z.strictObject({
	kind: z.literal('inventory'),
	services: z.array(serviceSchema).max(maximumServices),
}).superRefine((inventory, context) => {
	const upstreams = inventory.services.flatMap(service => service.upstreams);
	for (const id of findDuplicates(inventory.services.map(service => service.id))) {
		context.addIssue({code: 'custom', path: ['services'], message: `service ${id} appears twice`});
	}

	for (const id of findDuplicates(upstreams.map(upstream => upstream.id))) {
		context.addIssue({code: 'custom', path: ['services'], message: `upstream ${id} appears twice`});
	}

	for (const address of findDuplicates(upstreams.map(upstream => upstream.address))) {
		context.addIssue({code: 'custom', path: ['services'], message: `address ${address} appears twice`});
	}
});

export type Inventory = z.infer<typeof inventorySchema>;
