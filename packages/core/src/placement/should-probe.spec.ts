import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {lastSlotSlowness} from './expected-duration.js';
import {shouldProbe} from './should-probe.js';

const asked = {rounds: 1, isLightlyLoaded: false, bestRatio: lastSlotSlowness};

describe('shouldProbe', () => {
	it('should end as soon as an upstream is lightly loaded', () => {
		assert.equal(shouldProbe({...asked, isLightlyLoaded: true}), false);
	});

	it('should look for one lightly loaded for two rounds', () => {
		assert.equal(shouldProbe(asked), true);
		assert.equal(shouldProbe({...asked, rounds: 2}), false);
	});

	it('should go on where not even a last slot was found, for five rounds at most', () => {
		assert.equal(shouldProbe({...asked, rounds: 4, bestRatio: 2.4}), true);
		assert.equal(shouldProbe({...asked, rounds: 5, bestRatio: 2.4}), false);
	});
});
