import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {AccountRateLimit} from '../accounts/client-account.js';
import {ManualClock} from '../model/manual-clock.js';
import {AccountBucket} from './account-bucket.js';
import {defaultAccountBound, maximumInWindow, reserveOf} from './account-bound.js';

const limit = {requestsPerSecond: 50, burst: 50};

function createBucket(level = 0) {
	const clock = new ManualClock();
	return {clock, bucket: new AccountBucket(clock, defaultAccountBound, limit, level)};
}

/** Floods a bucket that begins with a saved burst, and from a time on one that goes on in its place. */
function assertSuccession(limit: AccountRateLimit, changedMs: number, change: 'successor' | 'share' | 'limit' | 'pace'): void {
	const clock = new ManualClock();
	const stepMs = 50;
	const {windowMs} = defaultAccountBound;
	let bucket = new AccountBucket(clock, defaultAccountBound, limit, 0);
	clock.advance(60_000);
	const grants: number[] = [];
	for (let atMs = 0; atMs < changedMs + (2 * windowMs); atMs += stepMs) {
		clock.advance(stepMs);
		if (atMs === changedMs) {
			if (change === 'successor') {
				bucket = new AccountBucket(clock, defaultAccountBound, limit, reserveOf(limit, defaultAccountBound));
			}

			bucket.setLimit(change === 'limit' ? {...limit, requestsPerSecond: limit.requestsPerSecond * 0.99} : limit, change === 'share' ? 0.99 : 1, change === 'pace' ? 0.9 : 1);
		}

		grants.push(bucket.take(limit.requestsPerSecond + limit.burst));
	}

	const busiest = Math.max(...grants.map((_count, index) => grants.slice(index, index + (windowMs / stepMs)).reduce((sum, count) => sum + count, 0)));
	const allowed = maximumInWindow(limit, defaultAccountBound);
	assert.ok(busiest <= allowed, `${limit.requestsPerSecond} a second, burst ${limit.burst}, ${change} after ${changedMs} ms: ${busiest} in a window, ${allowed} allowed`);
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

	it('should leave room for a successor that starts with a reserve, whenever it takes over from one that was flooded', () => {
		for (const requestsPerSecond of [1, 3, 50, 333]) {
			for (const burst of [requestsPerSecond, requestsPerSecond * 3, requestsPerSecond * 10]) {
				for (let takenOverMs = 500; takenOverMs <= 10_000; takenOverMs += 250) {
					assertSuccession({requestsPerSecond, burst}, takenOverMs, 'successor');
				}
			}
		}
	});

	it('should stay within the bound if its share, limit or pace changes while it is flooded', () => {
		for (const requestsPerSecond of [1, 3, 50, 333]) {
			for (const burst of [requestsPerSecond, requestsPerSecond * 3, requestsPerSecond * 10]) {
				for (let changedMs = 500; changedMs <= 10_000; changedMs += 250) {
					assertSuccession({requestsPerSecond, burst}, changedMs, 'share');
					assertSuccession({requestsPerSecond, burst}, changedMs, 'limit');
					assertSuccession({requestsPerSecond, burst}, changedMs, 'pace');
				}
			}
		}
	});

	it('should tell a time after which a token is there also while it hands out more than its rate', () => {
		const {clock, bucket} = createBucket();
		clock.advance(60_000);
		for (let atMs = 0; atMs < 12_000; atMs += 7) {
			clock.advance(7);
			bucket.take(4);
		}

		for (let repetition = 0; repetition < 50; repetition++) {
			bucket.take(100);
			assert.ok(bucket.tokenInMs > 0);
			clock.advance(Math.ceil(bucket.tokenInMs));
			assert.equal(bucket.take(1), 1);
		}
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
