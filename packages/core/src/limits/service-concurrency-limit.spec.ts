import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {highestPriority, ServiceConcurrencyLimit} from './service-concurrency-limit.js';

const windowMs = 50;
const reportsPerWindow = 8;

function report(limit: ServiceConcurrencyLimit, perSlot: number, startMs: number, windows: number): number {
	for (let window = 0; window < windows; window++) {
		for (let index = 0; index < reportsPerWindow; index++) {
			limit.onReport(perSlot, windowMs, startMs + (window * windowMs));
		}
	}

	return startMs + (windows * windowMs);
}

describe('service concurrency limit', () => {
	it('should not hold back requests while upstreams keep up', () => {
		const limit = new ServiceConcurrencyLimit(45);
		report(limit, 1, 0, 100);
		assert.equal(limit.value, 45);
	});

	it('should fall within a few windows of congestion, never below one', () => {
		const limit = new ServiceConcurrencyLimit(45);
		limit.admits(12, 5, 0);
		const nowMs = report(limit, 8, 0, 1);
		assert.equal(limit.value, 6);
		report(limit, 8, nowMs, 50);
		assert.equal(limit.value, 1);
		assert.equal(limit.admits(0, 5, 0), true);
	});

	it('should rise once congestion is over, but only while it holds requests back', () => {
		const limit = new ServiceConcurrencyLimit(45);
		let nowMs = report(limit, 8, 0, 50);
		nowMs = report(limit, 1, nowMs, 20);
		assert.equal(limit.value, 1);
		for (let window = 0; window < 20; window++) {
			assert.equal(limit.admits(45, 5, 0), false);
			nowMs = report(limit, 1, nowMs, 1);
		}

		assert.equal(limit.value, 21);
	});

	it('should let requests of the highest priority exceed the limit', () => {
		const limit = new ServiceConcurrencyLimit(4);
		assert.equal(limit.admits(4, 5, 0), false);
		assert.equal(limit.admits(4, highestPriority, 0), true);
		assert.equal(limit.admits(16, highestPriority, 0), false);
	});

	it('should rise by one a second without reports', () => {
		const limit = new ServiceConcurrencyLimit(45);
		const nowMs = report(limit, 8, 0, 50);
		assert.equal(limit.admits(1, 5, nowMs), false);
		assert.equal(limit.admits(1, 5, nowMs + 1100), false);
		assert.equal(limit.admits(1, 5, nowMs + 1200), true);
		assert.equal(limit.admits(2, 5, nowMs + 1200), false);
	});

	it('should fall only a little for the congestion marks of a single straggler', () => {
		const limit = new ServiceConcurrencyLimit(45);
		for (let nowMs = 0; nowMs < 500; nowMs++) {
			limit.admits(45, 5, 0);
			limit.onReport(nowMs % 15 === 0 ? 8 : 1, windowMs, nowMs);
		}

		assert.ok(limit.value > 25);
	});
});
