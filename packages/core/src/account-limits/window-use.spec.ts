import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {WindowUse} from './window-use.js';

const windowMs = 5000;

describe('window use', () => {
	it('should count tokens until they have left the window', () => {
		const clock = new ManualClock();
		const use = new WindowUse(clock, windowMs);
		use.record(3, 1);
		clock.advance(windowMs);
		assert.deepEqual([use.granted, use.beyondRate], [3, 1]);
		clock.advance(use.freedInMs);
		assert.deepEqual([use.granted, use.beyondRate], [0, 0]);
	});

	it('should know the whole window only after one has passed', () => {
		const clock = new ManualClock();
		const use = new WindowUse(clock, windowMs);
		clock.advance(windowMs - 1);
		assert.equal(use.isComplete, false);
		clock.advance(1);
		assert.equal(use.isComplete, true);
		use.reset();
		assert.equal(use.isComplete, false);
	});
});
