import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {inventorySchema} from './inventory.js';
import {toValidationFaults} from './validation-fault.js';

const upstream = {
	id: 'ledger-01', address: '127.0.0.1:9001', availabilityZone: 'nasr', slots: 3, connections: 250,
};

describe('inventory', () => {
	it('should accept services with distinct upstreams', () => {
		const parsed = inventorySchema.safeParse({kind: 'inventory', services: [{id: 'ledger', upstreams: [upstream]}]});
		assert.equal(parsed.success, true);
	});

	it('should report every fault with its path', () => {
		const faulty = {...upstream, slots: 0, address: 'ledger.example:80'};
		const parsed = inventorySchema.safeParse({kind: 'inventory', services: [{id: 'ledger', upstreams: [faulty]}]});
		assert.equal(parsed.success, false);
		const paths = toValidationFaults(parsed.error).map(fault => fault.path);
		assert.deepEqual(paths.sort(), ['services.0.upstreams.0.address', 'services.0.upstreams.0.slots']);
	});

	it('should reject an upstream that is listed in two services', () => {
		const services = [{id: 'ledger', upstreams: [upstream]}, {id: 'guardian-portal', upstreams: [upstream]}];
		assert.equal(inventorySchema.safeParse({kind: 'inventory', services}).success, false);
	});
});
