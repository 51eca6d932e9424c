import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runPlacement, type PlacementScenario} from './placement-run.js';

const swing: PlacementScenario = {
	seed: 21, instances: 13, upstreams: 24, slots: 4, requestsPerSecond: 160, durationMs: 10_000, meanWorkMs: 100, targetMs: 300,
};

describe('a third of the upstreams seven times slower, drawn anew each half second', () => {
	it('should leave fewer requests late the more is known of the upstreams at the moment of the choice', () => {
		const lateRatio = (policy: Parameters<typeof runPlacement>[0]) => 1 - runPlacement(policy, swing).inTimeRatio;
		assert.ok(lateRatio('ask-first') * 5 < lateRatio('last-report'));
		assert.ok(lateRatio('last-report') < lateRatio('random'));
	});

	it('should give the same figures each time', () => {
		assert.deepEqual(runPlacement('ask-first', swing), runPlacement('ask-first', swing));
	});

	it('should cost at most the six questions of three rounds', () => {
		const {asksPerRequest} = runPlacement('ask-first', {...swing, requestsPerSecond: 400});
		assert.ok(asksPerRequest <= 6, `${asksPerRequest}`);
	});

	it('should cost at most the ten questions of five rounds where a last slot is looked for', () => {
		const {asksPerRequest} = runPlacement('ask-first-and-learn', {...swing, requestsPerSecond: 400});
		assert.ok(asksPerRequest <= 10, `${asksPerRequest}`);
	});
});

describe('a burst on upstreams of two slots, most of which are taken', () => {
	const burst: PlacementScenario = {
		seed: 5, instances: 16, upstreams: 20, slots: 2, requestsPerSecond: 110, durationMs: 20_000, meanWorkMs: 120, targetMs: 300,
	};

	it('should cost fewer questions, and leave no more late, where a last slot ends the search', () => {
		for (const seed of [5, 6, 7]) {
			const easeOnly = runPlacement('ask-first', {...burst, seed, requestsPerSecond: 90});
			const lastSlotToo = runPlacement('ask-first-and-learn', {...burst, seed, requestsPerSecond: 90});
			assert.ok(lastSlotToo.asksPerRequest < easeOnly.asksPerRequest);
			assert.ok(lastSlotToo.inTimeRatio > easeOnly.inTimeRatio);
		}
	});

	it('should leave fewer requests late where an upstream without a report counts as what asking finds', () => {
		for (const seed of [5, 6, 7]) {
			const lateRatio = (policy: Parameters<typeof runPlacement>[0]) => 1 - runPlacement(policy, {...burst, seed}).inTimeRatio;
			assert.ok(lateRatio('ask-first-and-learn') * 3 < lateRatio('ask-first'));
		}
	});
});
