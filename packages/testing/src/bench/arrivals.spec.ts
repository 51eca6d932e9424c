import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {generateArrivals, rateFactorAt} from './arrivals.js';
import type {LoadJob} from './load-job.js';

const job: LoadJob = {
	seed: 7,
	warmUpMs: 1000,
	measuredMs: 9000,
	serviceMs: 50,
	targets: [],
	classes: [
		{
			id: 'often', service: 's', method: 'GET', path: '/', share: 0.75, deadlineMs: 1000, callsPerSecond: 300,
		},
		{
			id: 'seldom', service: 's', method: 'GET', path: '/', share: 0.25, deadlineMs: 1000, callsPerSecond: 100,
		},
	],
	rate: [{at: 0, factor: 1}, {at: 0.5, factor: 2}],
	callers: 10,
	keepAddressMs: 5000,
};

describe('arrivals', () => {
	it('should be the same for the same seed', () => {
		assert.deepEqual([...generateArrivals(job)], [...generateArrivals(job)]);
	});

	it('should follow the rate and its steps', () => {
		const due = [...generateArrivals(job)].map(({dueMs}) => dueMs);
		const between = (fromMs: number, toMs: number) => due.filter(ms => ms >= fromMs && ms < toMs).length;
		const ratio = between(5500, 10_000) / between(1000, 5500);
		assert.ok(ratio > 1.8 && ratio < 2.2, String(ratio));
		assert.equal(rateFactorAt(job.rate, -0.1), 1);
	});

	it('should match the shares of the classes and the mean service time', () => {
		const all = [...generateArrivals(job)];
		const seldom = all.filter(({callClass}) => callClass.id === 'seldom').length / all.length;
		const meanMs = all.reduce((sum, {serviceMs}) => sum + serviceMs, 0) / all.length;
		assert.ok(Math.abs(seldom - 0.25) < 0.02, String(seldom));
		assert.ok(Math.abs(meanMs - 50) < 1, String(meanMs));
	});
});
