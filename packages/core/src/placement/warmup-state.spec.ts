import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {WarmupState} from './warmup-state.js';

describe('WarmupState', () => {
	it('should be cold for as long as the registry entry or the upstream itself reports', () => {
		const clock = new ManualClock();
		const warmup = new WarmupState(clock, 3000);
		clock.advance(2999);
		assert.equal(warmup.isCold, true);
		clock.advance(1);
		assert.equal(warmup.mayBeCold, false);
		warmup.recordReport(500);
		assert.equal(warmup.isCold, true);
	});

	it('should become cold again at any time, even where the same id was warm', () => {
		const warmup = new WarmupState(new ManualClock());
		warmup.recordRegistryEntry(3000);
		assert.equal(warmup.isCold, true);
	});

	it('should not become warm by a registry entry that is older than the report of the upstream itself', () => {
		const warmup = new WarmupState(new ManualClock());
		warmup.recordReport(3000);
		warmup.recordRegistryEntry(0);
		assert.equal(warmup.isCold, true);
	});

	it('should be uncertain from a lost connection until the upstream reports that it is warm', () => {
		const warmup = new WarmupState(new ManualClock());
		warmup.markUncertain();
		assert.deepEqual([warmup.isCold, warmup.mayBeCold], [false, true]);
		warmup.recordRegistryEntry(0);
		assert.equal(warmup.mayBeCold, true);
		warmup.recordReport(0);
		assert.equal(warmup.mayBeCold, false);
	});
});
