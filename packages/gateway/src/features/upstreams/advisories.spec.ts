import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import {Advisories, type AdvisoriesOptions, type AdvisorySource} from './advisories.js';
import type {Upstream} from './upstream.js';

/** One instance and one upstream. */
class AdvisoryWorld {
	readonly clock = new ManualClock();
	readonly logged: unknown[] = [];
	readonly metrics = createMetrics();
	readonly upstream = {registered: {id: 'u1', service: 'ledger'}, condition: new UpstreamCondition(this.clock)} as unknown as Upstream;
	readonly advisories = new Advisories({
		context: {metrics: this.metrics, logger: {info: (_: string, fields: unknown) => this.logged.push(fields)}} as unknown as AdvisoriesOptions['context'],
		dialect: plainDialect,
	});

	received(status: number, headers: readonly string[], source: AdvisorySource = 'answer'): void {
		this.advisories.received(this.upstream, {status, headers, body: new Uint8Array(0)}, source);
	}

	get availability(): string {
		return this.upstream.condition.advisories.availability.type;
	}
}

describe('Advisories', () => {
	it('should learn from an answer of any status that an upstream leaves, and log it once', () => {
		for (const status of [200, 404, 500, 503]) {
			const world = new AdvisoryWorld();
			world.received(status, ['Leaving', 'yes']);
			world.received(status, ['Leaving', 'yes']);
			assert.equal(world.availability, 'leaving');
			assert.equal(world.logged.length, 1);
		}
	});

	it('should learn it from a health check too', () => {
		const world = new AdvisoryWorld();
		world.received(503, ['Leaving', 'yes'], 'health-check');
		assert.equal(world.availability, 'leaving');
		assert.deepEqual(world.logged, [{
			upstream: 'u1', service: 'ledger', source: 'health-check', type: 'leaving',
		}]);
	});

	it('should take a back-off from a 503 only', () => {
		for (const status of [200, 429, 500]) {
			const world = new AdvisoryWorld();
			world.received(status, ['Back-Off', '3000']);
			assert.equal(world.availability, 'available');
		}

		const world = new AdvisoryWorld();
		world.received(503, ['Back-Off', '3000']);
		assert.equal(world.availability, 'backing-off');
		world.clock.advance(3000);
		assert.equal(world.availability, 'available');
	});

	it('should believe nothing that it can\'t read, and count it', async () => {
		const world = new AdvisoryWorld();
		world.received(503, ['Leaving', 'soon', 'Back-Off', 'a while']);
		assert.equal(world.availability, 'available');
		const {values} = await world.metrics.unreadableAdvisories.get();
		assert.deepEqual(values.map(({labels, value}) => [labels.header, value]), [['leaving', 1], ['back-off', 1]]);
	});
});
