import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import {AccountBucket} from './account-bucket.js';
import {defaultAccountBound, maximumInWindow, reserveOf} from './account-bound.js';

const limit = {requestsPerSecond: 50, burst: 50};

function createBucket(level = 0) {
	const clock = new ManualClock();
	return {clock, bucket: new AccountBucket(clock, defaultAccountBound, limit, level)};
}

describe('account bucket', () => {
	it('should grant no more in any window than the bound, for any order of pauses and requests', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 0, max: 3000}), fc.integer({min: 0, max: 200})), {maxLength: 60}), steps => {
			const {clock, bucket} = createBucket(reserveOf(limit, defaultAccountBound));
			const grants: Array<{atMs: number; count: number}> = [];
			for (const [pauseMs, count] of steps) {
				clock.advance(pauseMs);
				grants.push({atMs: clock.monotonicMs(), count: bucket.take(count)});
			}

			for (const {atMs: startMs} of grants) {
				const inWindow = grants.filter(({atMs}) => atMs >= startMs && atMs <= startMs + defaultAccountBound.windowMs);
				assert.ok(inWindow.reduce((sum, {count}) => sum + count, 0) <= maximumInWindow(limit, defaultAccountBound));
			}
		}));
	});

	it('should use what the limit allows in a window while an account goes on asking for more', () => {
		const {clock, bucket} = createBucket();
		clock.advance(60_000);
		const grants: number[] = [];
		for (let atMs = 0; atMs < 30_000; atMs += 20) {
			clock.advance(20);
			grants.push(bucket.take(4));
		}

		const allowed = (limit.requestsPerSecond * 5) + limit.burst;
		const perWindow = grants.map((_count, index) => grants.slice(index, index + 250)).filter(({length}) => length === 250)
			.map(window => window.reduce((sum, count) => sum + count, 0));
		assert.ok(Math.max(...perWindow) <= allowed, `${Math.max(...perWindow)}`);
		assert.ok(Math.min(...perWindow) >= allowed * 0.9, `${Math.min(...perWindow)}`);
	});

	it('should pass on as owed what was handed out beyond the rate', () => {
		const {clock, bucket} = createBucket();
		clock.advance(60_000);
		bucket.take(100);
		for (let atMs = 0; atMs < 3000; atMs += 20) {
			clock.advance(20);
			bucket.take(4);
		}

		assert.ok(bucket.transferable < -20, `${bucket.transferable}`);
	});

	it('should take a lower limit at once, also from saved tokens', () => {
		const {clock, bucket} = createBucket();
		clock.advance(60_000);
		const lower = {requestsPerSecond: 5, burst: 5};
		bucket.setLimit(lower, 1, 1);
		assert.equal(bucket.level, 5 + reserveOf(lower, defaultAccountBound));
	});

	it('should hand out only its share of rate and burst', () => {
		const {clock, bucket} = createBucket();
		bucket.setLimit(limit, 0.1, 1);
		clock.advance(1000);
		assert.equal(bucket.take(100), 5);
	});

	it('should tell the time at which the next token is there', () => {
		const {clock, bucket} = createBucket();
		assert.equal(bucket.take(1), 0);
		clock.advance(bucket.tokenInMs);
		assert.equal(bucket.take(2), 1);
	});

	it('should send callers that are refused away for longer the more were refused before them, up to a maximum', () => {
		const {bucket} = createBucket();
		const delays = [bucket.queue(10), bucket.queue(10), bucket.queue(1000)];
		assert.ok(delays[1]! > delays[0]!);
		assert.equal(delays[2], 2000);
	});

	it('should take back tokens only up to what it may hold', () => {
		const {bucket} = createBucket();
		bucket.giveBack(1_000_000);
		assert.equal(bucket.level, limit.burst + reserveOf(limit, defaultAccountBound));
	});
});
