import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {lastSlotSlowness} from './expected-duration.js';
import {nextProbes, probeRounds, shouldProbe} from './should-probe.js';

const inputs = {rounds: 1, isLightlyLoaded: false, bestRatio: lastSlotSlowness};

describe('shouldProbe', () => {
	it('should end as soon as an upstream is lightly loaded', () => {
		assert.equal(shouldProbe({...inputs, isLightlyLoaded: true}), false);
	});

	it('should look for a lightly loaded upstream for two rounds', () => {
		assert.equal(shouldProbe(inputs), true);
		assert.equal(shouldProbe({...inputs, rounds: 2}), false);
	});

	it('should continue for at most five rounds where not even a last slot was found', () => {
		assert.equal(shouldProbe({...inputs, rounds: 4, bestRatio: 2.4}), true);
		assert.equal(shouldProbe({...inputs, rounds: 5, bestRatio: 2.4}), false);
	});
});

describe('nextProbes', () => {
	it('should probe near upstreams of the first round one after the other, and two at a time from then on', () => {
		assert.deepEqual([0, 1, 2, 4].map(probes => nextProbes(probes, true)), [1, 1, 2, 2]);
	});

	it('should probe upstreams of other zones two at a time, as their answers take longer', () => {
		assert.deepEqual([0, 1, 2, 4].map(probes => nextProbes(probes, false)), [2, 2, 2, 2]);
	});
});

describe('probeRounds', () => {
	it('should count a round once its two upstreams are probed', () => {
		assert.deepEqual([0, 1, 2, 3, 4].map(probes => probeRounds(probes)), [0, 0, 1, 1, 2]);
	});
});
