import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createRandomSource} from '../model/random-source.js';
import {AttemptBudget} from './attempt-budget.js';
import {deadlineAtMs, parseDeadline, remainingMs} from './deadline.js';
import {LatencyQuantiles} from './latency-quantiles.js';

const seed = 20_260_106;

describe('attempt budget', () => {
	const event = fc.record({waitMs: fc.integer({min: 0, max: 2000}), extra: fc.boolean()});

	it('should keep extra attempts within the share and the minimum rate', () => {
		fc.assert(fc.property(fc.array(event, {maxLength: 200}), events => {
			const settings = {ratio: 0.1, floorPerSecond: 1, decayTimeMs: 5000};
			const budget = new AttemptBudget(settings, 0);
			let nowMs = 0;
			let firsts = 0;
			let extras = 0;
			for (const {waitMs, extra} of events) {
				nowMs += waitMs;
				budget.deposit(nowMs);
				firsts += 1;
				extras += extra && budget.tryWithdraw(nowMs) ? 1 : 0;
				assert.ok(extras <= (firsts * settings.ratio) + (nowMs / 1000) + 1);
			}
		}), {seed});
	});

	it('should allow one attempt and no burst after a quiet hour', () => {
		const budget = new AttemptBudget({ratio: 0.1, floorPerSecond: 1, decayTimeMs: 5000}, 0);
		for (let index = 0; index < 1000; index += 1) {
			budget.deposit(0);
		}

		const taken = Array.from({length: 50}, () => budget.tryWithdraw(3_600_000)).filter(Boolean);
		assert.equal(taken.length, 1);
	});
});

describe('latency quantiles', () => {
	it('should return no quantile before enough answers', () => {
		const latencies = new LatencyQuantiles();
		latencies.record(3);
		assert.equal(latencies.quantileMs(0.95), undefined);
	});

	it('should be at most 10 % above the true quantile', () => {
		const random = createRandomSource(seed);
		const latencies = new LatencyQuantiles();
		const values = Array.from({length: 1000}, () => 1 + ((random.next() ** 4) * 500));
		for (const value of values) {
			latencies.record(value);
		}

		const sorted = values.sort((left, right) => left - right);
		for (const quantile of [0.5, 0.9, 0.95, 0.99]) {
			const exactMs = sorted[Math.ceil(quantile * sorted.length) - 1]!;
			const estimatedMs = latencies.quantileMs(quantile)!;
			assert.ok(estimatedMs >= exactMs && estimatedMs <= exactMs * 1.1, `${estimatedMs} for ${exactMs}`);
		}
	});

	it('should discard old answers', () => {
		const latencies = new LatencyQuantiles();
		for (let index = 0; index < 1024; index += 1) {
			latencies.record(500);
		}

		for (let index = 0; index < 2048; index += 1) {
			latencies.record(2);
		}

		assert.ok(latencies.quantileMs(0.99)! < 3);
	});
});

describe('deadline', () => {
	it('should be the deadline of the caller, capped by the class', () => {
		assert.equal(deadlineAtMs(50, 30, 100), 80);
		assert.equal(deadlineAtMs(50, 300, 100), 150);
		assert.equal(deadlineAtMs(50, undefined, 100), 150);
	});

	it('should accept whole milliseconds only', () => {
		assert.equal(parseDeadline('250')._unsafeUnwrap(), 250);
		assert.equal(parseDeadline(undefined)._unsafeUnwrap(), undefined);
		for (const text of ['', '-1', '1.5', '1e3', ' 1', '99999999999']) {
			assert.ok(parseDeadline(text).isErr(), text);
		}
	});

	it('should leave nothing once less than a millisecond is left', () => {
		assert.equal(remainingMs(80, 50.5), 29);
		assert.equal(remainingMs(80, 79.5), undefined);
		assert.equal(remainingMs(80, 90), undefined);
	});
});
