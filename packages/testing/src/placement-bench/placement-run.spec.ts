import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runPlacement, type PlacementScenario} from './placement-run.js';

const swing: PlacementScenario = {
	seed: 21, instances: 13, upstreams: 24, slots: 4, requestsPerSecond: 160, durationMs: 10_000, meanWorkMs: 100, targetMs: 300,
};

describe('a random third of the upstreams seven times slower, changing every half second', () => {
	it('should have fewer late requests the more current the information about the upstreams is', () => {
		const lateRatio = (policy: Parameters<typeof runPlacement>[0]) => 1 - runPlacement(policy, swing).inTimeRatio;
		assert.ok(lateRatio('ask-first') * 5 < lateRatio('last-report'));
		assert.ok(lateRatio('last-report') < lateRatio('random'));
	});

	it('should give the same results for the same seed', () => {
		assert.deepEqual(runPlacement('ask-first', swing), runPlacement('ask-first', swing));
	});

	it('should cost at most the six probes of three rounds', () => {
		const {probesPerRequest} = runPlacement('ask-first', {...swing, requestsPerSecond: 400});
		assert.ok(probesPerRequest <= 6, `${probesPerRequest}`);
	});

	it('should cost at most the ten probes of five rounds when it searches for a last free slot', () => {
		const {probesPerRequest} = runPlacement('ask-first-and-learn', {...swing, requestsPerSecond: 400});
		assert.ok(probesPerRequest <= 10, `${probesPerRequest}`);
	});
});

describe('a burst on upstreams with two slots, most of which are occupied', () => {
	const burst: PlacementScenario = {
		seed: 5, instances: 16, upstreams: 20, slots: 2, requestsPerSecond: 110, durationMs: 20_000, meanWorkMs: 120, targetMs: 300,
	};

	it('should cost fewer probes and have fewer late requests when a last free slot ends the search', () => {
		for (const seed of [5, 6, 7]) {
			const withoutLastSlot = runPlacement('ask-first', {...burst, seed, requestsPerSecond: 90});
			const withLastSlot = runPlacement('ask-first-and-learn', {...burst, seed, requestsPerSecond: 90});
			assert.ok(withLastSlot.probesPerRequest < withoutLastSlot.probesPerRequest);
			assert.ok(withLastSlot.inTimeRatio > withoutLastSlot.inTimeRatio);
		}
	});

	it('should have fewer late requests when the speed of upstreams without a report is estimated from probes', () => {
		for (const seed of [5, 6, 7]) {
			const lateRatio = (policy: Parameters<typeof runPlacement>[0]) => 1 - runPlacement(policy, {...burst, seed}).inTimeRatio;
			assert.ok(lateRatio('ask-first-and-learn') * 3 < lateRatio('ask-first'));
		}
	});
});

describe('a large fleet, each instance of which gets a few requests a second, with a third of the upstreams slow', () => {
	const calm: PlacementScenario = {
		seed: 9, instances: 110, upstreams: 140, slots: 4, requestsPerSecond: 480, durationMs: 30_000, meanWorkMs: 100, targetMs: 300,
	};
	const learned = runPlacement('ask-first-and-learn', calm);

	it('should keep connections: few are opened for each request', () => {
		assert.ok(learned.connectionsPerRequest <= 0.15, `${learned.connectionsPerRequest}`);
	});

	it('should send few health checks', () => {
		assert.ok(learned.probesPerRequest <= 1.5, `${learned.probesPerRequest}`);
	});

	it('should have no more late requests than with connections to any upstream', () => {
		assert.ok(learned.inTimeRatio >= runPlacement('ask-first', calm).inTimeRatio - 0.001, `${learned.inTimeRatio}`);
	});
});
