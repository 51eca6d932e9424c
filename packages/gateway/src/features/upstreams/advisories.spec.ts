import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import {Advisories, type AdvisoriesOptions, type AdvisorySource} from './advisories.js';
import {answerOf} from './upstream-answer-fixture.js';
import type {Upstream} from './upstream.js';

/** Harness with one instance and one upstream. */
class AdvisoryHarness {
	readonly clock = new ManualClock();
	readonly logged: unknown[] = [];
	readonly metrics = createMetrics();
	readonly upstream = {registered: {id: 'u1', service: 'ledger'}, condition: new UpstreamCondition(this.clock)} as unknown as Upstream;
	readonly advisories = new Advisories({
		context: {metrics: this.metrics, logger: {info: (_: string, fields: unknown) => this.logged.push(fields)}} as unknown as AdvisoriesOptions['context'],
		dialect: plainDialect,
	});

	received(status: number, headers: readonly string[], source: AdvisorySource = 'answer'): void {
		this.advisories.received(this.upstream, answerOf(status, headers), source);
	}

	get availability(): string {
		return this.upstream.condition.advisories.availability.type;
	}
}

describe('Advisories', () => {
	it('should learn from an answer of any status that an upstream is leaving, and log it once', () => {
		for (const status of [200, 404, 500, 503]) {
			const harness = new AdvisoryHarness();
			harness.received(status, ['Leaving', 'yes']);
			harness.received(status, ['Leaving', 'yes']);
			assert.equal(harness.availability, 'leaving');
			assert.equal(harness.logged.length, 1);
		}
	});

	it('should learn from a health check that an upstream is leaving', () => {
		const harness = new AdvisoryHarness();
		harness.received(503, ['Leaving', 'yes'], 'health-check');
		assert.equal(harness.availability, 'leaving');
		assert.deepEqual(harness.logged, [{
			upstream: 'u1', service: 'ledger', source: 'health-check', type: 'leaving',
		}]);
	});

	it('should apply a back-off of a 503 answer only', () => {
		for (const status of [200, 429, 500]) {
			const harness = new AdvisoryHarness();
			harness.received(status, ['Back-Off', '3000']);
			assert.equal(harness.availability, 'available');
		}

		const harness = new AdvisoryHarness();
		harness.received(503, ['Back-Off', '3000']);
		assert.equal(harness.availability, 'backing-off');
		harness.clock.advance(3000);
		assert.equal(harness.availability, 'available');
	});

	it('should ignore and count headers that can\'t be parsed', async () => {
		const harness = new AdvisoryHarness();
		harness.received(503, ['Leaving', 'soon', 'Back-Off', 'a while']);
		assert.equal(harness.availability, 'available');
		const {values} = await harness.metrics.unreadableAdvisories.get();
		assert.deepEqual(values.map(({labels, value}) => [labels.header, value]), [['leaving', 1], ['back-off', 1]]);
	});
});
