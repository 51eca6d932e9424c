import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {lastSlotSlowness} from './expected-duration.js';
import {shouldProbe} from './should-probe.js';

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
