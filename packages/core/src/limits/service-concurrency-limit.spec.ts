import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {highestPriority, ServiceConcurrencyLimit} from './service-concurrency-limit.js';

const windowMs = 50;
const reportsPerWindow = 8;

function report(concurrency: ServiceConcurrencyLimit, perSlot: number, startMs: number, windows: number): number {
	for (let window = 0; window < windows; window++) {
		for (let index = 0; index < reportsPerWindow; index++) {
			concurrency.onReport(perSlot, windowMs, startMs + (window * windowMs));
		}
	}

	return startMs + (windows * windowMs);
}

describe('service concurrency', () => {
	it('should not hold back anything while upstreams keep up', () => {
		const concurrency = new ServiceConcurrencyLimit(45);
		report(concurrency, 1, 0, 100);
		assert.equal(concurrency.value, 45);
	});

	it('should fall within a few windows of congestion, never below one', () => {
		const concurrency = new ServiceConcurrencyLimit(45);
		concurrency.admits(12, 5, 0);
		const nowMs = report(concurrency, 8, 0, 1);
		assert.equal(concurrency.value, 6);
		report(concurrency, 8, nowMs, 50);
		assert.equal(concurrency.value, 1);
		assert.equal(concurrency.admits(0, 5, 0), true);
	});

	it('should rise once congestion is over, only where it holds requests back', () => {
		const concurrency = new ServiceConcurrencyLimit(45);
		let nowMs = report(concurrency, 8, 0, 50);
		nowMs = report(concurrency, 1, nowMs, 20);
		assert.equal(concurrency.value, 1);
		for (let window = 0; window < 20; window++) {
			assert.equal(concurrency.admits(45, 5, 0), false);
			nowMs = report(concurrency, 1, nowMs, 1);
		}

		assert.equal(concurrency.value, 21);
	});

	it('should let the first class pass the limit', () => {
		const concurrency = new ServiceConcurrencyLimit(4);
		assert.equal(concurrency.admits(4, 5, 0), false);
		assert.equal(concurrency.admits(4, highestPriority, 0), true);
		assert.equal(concurrency.admits(16, highestPriority, 0), false);
	});

	it('should open by one a second where reports stay away', () => {
		const concurrency = new ServiceConcurrencyLimit(45);
		const nowMs = report(concurrency, 8, 0, 50);
		assert.equal(concurrency.admits(1, 5, nowMs), false);
		assert.equal(concurrency.admits(1, 5, nowMs + 1100), false);
		assert.equal(concurrency.admits(1, 5, nowMs + 1200), true);
		assert.equal(concurrency.admits(2, 5, nowMs + 1200), false);
	});

	it('should fall little for the marks of a single straggler', () => {
		const concurrency = new ServiceConcurrencyLimit(45);
		for (let nowMs = 0; nowMs < 500; nowMs++) {
			concurrency.admits(45, 5, 0);
			concurrency.onReport(nowMs % 15 === 0 ? 8 : 1, windowMs, nowMs);
		}

		assert.ok(concurrency.value > 25);
	});
});
