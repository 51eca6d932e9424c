import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdvertisedRate, type RateStatement} from './advertised-rate.js';

const limited = (requestsPerSecond: number, atMs: number): RateStatement => ({limit: {type: 'limited', requestsPerSecond}, atMs});
const lifted = (atMs: number): RateStatement => ({limit: {type: 'none'}, atMs});

describe('AdvertisedRate', () => {
	it('should hold the newest statement, in whatever order statements arrive', () => {
		const rate = new AdvertisedRate();
		rate.learn(limited(3, 200));
		rate.learn(limited(5, 100));
		assert.equal(rate.requestsPerSecond, 3);
		rate.learn(limited(4, 300));
		assert.equal(rate.requestsPerSecond, 4);
	});

	it('should keep a limit that was advertised after the request was sent whose answer has none', () => {
		const rate = new AdvertisedRate();
		rate.learn(limited(3, 200));
		rate.learn(lifted(150));
		rate.learn(lifted(200));
		assert.equal(rate.requestsPerSecond, 3);
	});

	it('should be lifted by a later answer without one', () => {
		const rate = new AdvertisedRate();
		rate.learn(limited(3, 200));
		rate.learn(lifted(201));
		assert.equal(rate.requestsPerSecond, undefined);
	});

	it('should know nothing of an upstream that never advertised a limit', () => {
		const rate = new AdvertisedRate();
		assert.equal(rate.learn(lifted(100)), false);
		assert.equal(rate.statement, undefined);
	});
});
