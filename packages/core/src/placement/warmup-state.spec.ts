import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {WarmupState} from './warmup-state.js';

describe('Warmth', () => {
	it('should be cold for as long as its entry or the upstream itself says', () => {
		const clock = new ManualClock();
		const warmth = new WarmupState(clock, 3000);
		clock.advance(2999);
		assert.equal(warmth.isCold, true);
		clock.advance(1);
		assert.equal(warmth.mayBeCold, false);
		warmth.recordReport(500);
		assert.equal(warmth.isCold, true);
	});

	it('should become cold at any moment, also under an id that was warm', () => {
		const warmth = new WarmupState(new ManualClock());
		warmth.recordRegistryEntry(3000);
		assert.equal(warmth.isCold, true);
	});

	it('should not be held for warm by an entry that is older than what the upstream said', () => {
		const warmth = new WarmupState(new ManualClock());
		warmth.recordReport(3000);
		warmth.recordRegistryEntry(0);
		assert.equal(warmth.isCold, true);
	});

	it('should be doubted from a lost connection until the upstream says that it is warm', () => {
		const warmth = new WarmupState(new ManualClock());
		warmth.markUncertain();
		assert.deepEqual([warmth.isCold, warmth.mayBeCold], [false, true]);
		warmth.recordRegistryEntry(0);
		assert.equal(warmth.mayBeCold, true);
		warmth.recordReport(0);
		assert.equal(warmth.mayBeCold, false);
	});
});
