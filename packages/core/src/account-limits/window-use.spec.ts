import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {WindowUse} from './window-use.js';

const windowMs = 5000;

describe('window use', () => {
	it('should count tokens until they have left the window', () => {
		const clock = new ManualClock();
		const use = new WindowUse(clock, windowMs);
		use.record(3);
		clock.advance(windowMs);
		assert.equal(use.granted, 3);
		clock.advance(windowMs / 50);
		assert.equal(use.granted, 0);
	});

	it('should count returned tokens as not handed out where they were, not later', () => {
		const clock = new ManualClock();
		const use = new WindowUse(clock, windowMs);
		use.record(30);
		clock.advance(300);
		use.giveBack(30);
		use.record(30);
		assert.equal(use.granted, 30);
		clock.advance(windowMs - 150);
		assert.equal(use.granted, 30);
	});

	it('should leave room for the rate in all windows that hold what was handed out', () => {
		const clock = new ManualClock();
		const use = new WindowUse(clock, windowMs);
		assert.equal(use.roomFor(0.05, 300), 50);
		use.record(50);
		clock.advance(2000);
		use.record(20);
		assert.equal(use.roomFor(0.05, 300), 30);
		use.record(110);
		assert.equal(use.roomFor(0.05, 300), -80);
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
