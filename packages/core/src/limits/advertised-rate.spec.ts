import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {AdvertisedRate, type RateAdvertisement} from './advertised-rate.js';

const limited = (requestsPerSecond: number, atMs: number): RateAdvertisement => ({limit: {type: 'limited', requestsPerSecond}, atMs});
const lifted = (atMs: number): RateAdvertisement => ({limit: {type: 'none'}, atMs});

describe('AdvertisedRate', () => {
	it('should keep the newest advertisement, whatever the order in which they arrive', () => {
		const rate = new AdvertisedRate(new ManualClock());
		rate.update(limited(3, 200));
		rate.update(limited(5, 100));
		assert.equal(rate.requestsPerSecond, 3);
		rate.update(limited(4, 300));
		assert.equal(rate.requestsPerSecond, 4);
	});

	it('should keep a limit if the request whose answer advertises none was sent before it, or at the same time', () => {
		const rate = new AdvertisedRate(new ManualClock());
		rate.update(limited(3, 200));
		rate.update(lifted(150));
		rate.update(lifted(200));
		assert.equal(rate.requestsPerSecond, 3);
	});

	it('should lift a limit on a later answer without one', () => {
		const rate = new AdvertisedRate(new ManualClock());
		rate.update(limited(3, 200));
		rate.update(lifted(201));
		assert.equal(rate.requestsPerSecond, undefined);
	});

	it('should hold no advertisement of an upstream that never advertised a limit', () => {
		const rate = new AdvertisedRate(new ManualClock());
		assert.equal(rate.update(lifted(100)), undefined);
		assert.equal(rate.latest, undefined);
	});

	it('should report a change once, and not a small drift of a limit', () => {
		const rate = new AdvertisedRate(new ManualClock());
		assert.deepEqual(rate.update(limited(3, 1)), {before: undefined, after: 3});
		assert.equal(rate.update(limited(3.2, 2)), undefined);
		assert.deepEqual(rate.update(limited(8, 3)), {before: 3.2, after: 8});
		assert.deepEqual(rate.update(lifted(4)), {before: 8, after: undefined});
	});

	it('should drop a limit that no instance has renewed for a long time', () => {
		const clock = new ManualClock();
		const rate = new AdvertisedRate(clock);
		rate.update(limited(3, 0));
		clock.advance(30_000);
		assert.equal(rate.requestsPerSecond, 3);
		clock.advance(1);
		assert.equal(rate.requestsPerSecond, undefined);
	});

	describe('sharing', () => {
		it('should be due after each change, and again while the limit is in force', () => {
			const clock = new ManualClock();
			const rate = new AdvertisedRate(clock);
			assert.equal(rate.isShareDue, false);
			rate.update(limited(3, 0));
			assert.equal(rate.isShareDue, true);
			rate.markShared();
			assert.equal(rate.isShareDue, false);
			clock.advance(2000);
			assert.equal(rate.isShareDue, true);
		});

		it('should stay due for some time after a limit was lifted', () => {
			const clock = new ManualClock();
			const rate = new AdvertisedRate(clock);
			rate.update(limited(3, 0));
			rate.update(lifted(1));
			rate.markShared();
			clock.advance(2000);
			assert.equal(rate.isShareDue, true);
			clock.advance(8000);
			assert.equal(rate.isShareDue, false);
		});
	});
});
