import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {GarbageLimit} from './garbage-limit.js';

const megabyte = 1_000_000;
const manyBytes = 8 * megabyte;
const intervalMs = 200;

describe('GarbageLimit', () => {
	const create = (state: {bufferBytes: number; usedBytes: number}) => {
		const clock = new ManualClock();
		const collections: number[] = [];
		const limit = new GarbageLimit({
			clock,
			maximumBytes: 80 * megabyte,
			usedBytes: () => state.usedBytes,
			bufferBytes: () => state.bufferBytes,
			collect() {
				collections.push(clock.monotonicMs());
			},
			onCollected: () => undefined,
		});
		return {clock, collections, limit};
	};

	it('should collect once buffers take too much and enough of them was dropped, and not again at once', () => {
		const {clock, collections, limit} = create({bufferBytes: 100 * megabyte, usedBytes: 50 * megabyte});
		limit.allocated(manyBytes);
		limit.allocated(manyBytes);
		assert.equal(collections.length, 1);
		clock.advance(intervalMs);
		limit.allocated(manyBytes);
		assert.equal(collections.length, 2);
	});

	it('should leave few buffers, buffers in use, and small allocations to the runtime', () => {
		for (const [state, bytes] of [
			[{bufferBytes: 70 * megabyte, usedBytes: 0}, manyBytes],
			[{bufferBytes: 100 * megabyte, usedBytes: 95 * megabyte}, manyBytes],
			[{bufferBytes: 100 * megabyte, usedBytes: 0}, 1000],
		] as const) {
			const {collections, limit} = create({...state});
			limit.allocated(bytes);
			assert.deepEqual(collections, []);
		}
	});
});
