import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {instanceIdSchema, upstreamIdSchema} from '../model/ids.js';
import {upstreamSchema} from '../model/upstream.js';
import {connectionShare} from './connection-share.js';
import {homesOf} from './home-assignment.js';

const instances = (count: number) => Array.from({length: count}, (_, index) => instanceIdSchema.parse(`entry-${index}`));
const upstream = (connections: number) => upstreamSchema.parse({
	id: 'ledger-0', address: '127.0.0.1:9000', availabilityZone: 'nasr', slots: 3, connections,
});

describe('connection share', () => {
	for (const [connections, count] of [[200, 19], [250, 19], [200, 40], [250, 120], [200, 600]] as const) {
		it(`should keep ${count} instances within ${connections} connections`, () => {
			const all = instances(count);
			const total = all.reduce((sum, instance) => sum + connectionShare(upstream(connections), count, instance, all), 0);
			assert.ok(total <= connections);
			assert.ok(total > connections / 2);
		});
	}

	it('should stay within the limit when each instance knows only itself', () => {
		const total = instances(19).reduce((sum, instance) => sum + connectionShare(upstream(200), 19, instance, []), 0);
		assert.ok(total <= 200);
	});
});

describe('home assignment', () => {
	for (const [instanceCount, upstreamCount] of [[13, 15], [19, 20], [19, 10], [2, 15], [100, 990]] as const) {
		it(`should assign each of ${upstreamCount} upstreams three of ${instanceCount} instances, evenly`, () => {
			const all = instances(instanceCount);
			const upstreams = Array.from({length: upstreamCount}, (_, index) => upstreamIdSchema.parse(`ledger-${index}`));
			const homes = all.map(instance => homesOf(instance, all, upstreams, 3));
			const sizes = homes.map(home => home.size);
			assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 1);
			for (const id of upstreams) {
				assert.equal(homes.filter(home => home.has(id)).length, Math.min(3, instanceCount));
			}
		});
	}
});
