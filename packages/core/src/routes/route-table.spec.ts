import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceId} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import {pickService} from './pick-service.js';
import {RouteTable} from './route-table.js';
import type {GatewayConfiguration, Route} from './route.js';

function route(id: string, pathPrefix: string, services = [{service: 'ledger' as ServiceId, weight: 1}]): Route {
	return {
		id, pathPrefix, services, idempotent: true, timeoutMs: 1000, targetLatencyMs: 100, priority: 1, maximumAttempts: 2,
	};
}

const configuration: GatewayConfiguration = {
	version: 3,
	services: [{id: 'ledger' as ServiceId, healthPath: '/health', maximumConnections: 10}],
	hosts: [{host: 'Pay.example', routes: [route('short', '/a/'), route('long', '/a/b/')]}, {host: 'other.example', routes: []}],
	limits: {
		maximumHeaderBytes: 1000, maximumBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
};

describe('RouteTable', () => {
	const table = new RouteTable(configuration);

	it('should match the longest prefix of the host', () => {
		assert.equal(table.match('pay.example', '/a/b/c')?.id, 'long');
		assert.equal(table.match('pay.example', '/a/c')?.id, 'short');
	});

	it('should match a prefix only up to a slash', () => {
		assert.equal(table.match('pay.example', '/a/bc')?.id, 'short');
		assert.equal(table.match('pay.example', '/ab'), undefined);
	});

	it('should ignore the port and the case of the host', () => {
		assert.equal(table.match('PAY.example:8080', '/a/')?.id, 'short');
	});

	it('should not match other hosts', () => {
		assert.equal(table.match('other.example', '/a/'), undefined);
		assert.equal(table.match('unknown.example', '/a/'), undefined);
	});
});

describe('pickService', () => {
	it('should split requests by weight, even over many instances with few requests each', () => {
		const split = route('split', '/', [{service: 'a' as ServiceId, weight: 90}, {service: 'b' as ServiceId, weight: 10}]);
		let toSecond = 0;
		for (let instance = 0; instance < 100; instance++) {
			// Spreads the seeds as widely as the random seeds of real processes.
			const random = createRandomSource(Math.imul(instance + 1, 2_654_435_761));
			toSecond += Array.from({length: 10}, () => pickService(split, random)).filter(service => service === 'b').length;
		}

		assert.ok(toSecond > 70 && toSecond < 130, `${toSecond} of 1000`);
	});

	it('should never pick a service without weight', () => {
		const split = route('split', '/', [{service: 'a' as ServiceId, weight: 0}, {service: 'b' as ServiceId, weight: 1}]);
		const random = createRandomSource(1);
		assert.ok(Array.from({length: 100}, () => pickService(split, random)).every(service => service === 'b'));
	});

	it('should pick nothing where no service has weight', () => {
		assert.equal(pickService(route('none', '/', []), createRandomSource(1)), undefined);
	});
});
