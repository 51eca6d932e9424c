import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {HandOverLimit} from './hand-over-limit.js';

describe('HandOverLimit', () => {
	it('should serve eight hosts in 100 ms, and refer further ones to some of these', () => {
		const clock = new ManualClock();
		const limit = new HandOverLimit(clock);
		const served = Array.from({length: 10}, (_, index) => limit.tryServe(`10.0.0.${index}`));
		assert.deepEqual(served, [...Array.from({length: 8}, () => true), false, false]);
		assert.deepEqual(limit.recentlyServed('10.0.0.0'), ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4']);
		clock.advance(100);
		assert.equal(limit.tryServe('10.0.0.9'), true);
	});

	it('should let the state reach 313 instances that start together within four windows of 100 ms', () => {
		const clock = new ManualClock();
		const limits = new Map([['0', new HandOverLimit(clock)]]);
		const waiting = Array.from({length: 312}, (_, index) => `${index + 1}`);
		let windows = 0;
		for (; waiting.length > 0; windows++) {
			const serving = [...limits.values()];
			for (const limit of serving) {
				while (waiting.length > 0 && limit.tryServe(waiting[0]!)) {
					limits.set(waiting.shift()!, new HandOverLimit(clock));
				}
			}

			clock.advance(100);
		}

		assert.ok(windows <= 4, `${windows}`);
	});
});
