import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {UpstreamCondition} from './upstream-condition.js';

const report = {
	running: 1, waiting: 0, slots: 4, slowness: 1,
};

describe('UpstreamCondition', () => {
	it('should forget a report once it says little', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.reported(report);
		assert.equal(condition.report, report);
		clock.advance(1000);
		assert.equal(condition.report, undefined);
	});

	it('should count what was sent since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.sent(100);
		condition.sent(100);
		assert.equal(condition.unreportedInFlight, 2);
		condition.reported(report);
		assert.equal(condition.unreportedInFlight, 0);
	});

	it('should no longer count what has ended since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		const mark = condition.sent(100);
		condition.ended(mark, true);
		assert.equal(condition.unreportedInFlight, 0);
		const counted = condition.sent(100);
		condition.reported(report);
		condition.ended(counted, true);
		assert.equal(condition.unreportedInFlight, 0);
	});

	describe('an upstream that could not be reached', () => {
		it('should be checked again after a pause that grows each time, and left alone until it answers', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const pauseMs = () => {
				let elapsedMs = 0;
				while (!condition.isCheckDue) {
					clock.advance(10);
					elapsedMs += 10;
				}

				return elapsedMs;
			};

			condition.unreachable();
			const first = pauseMs();
			condition.unreachable();
			assert.ok(pauseMs() > first);
			clock.advance(60_000);
			assert.equal(condition.isAvoided, true);
			condition.reported(report);
			assert.equal(condition.isAvoided, false);
		});

		it('should be checked by one health check at a time', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.unreachable();
			clock.advance(1000);
			condition.asked();
			assert.equal(condition.isCheckDue, false);
		});
	});

	it('should be silent while a health check takes longer than one does', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.asked();
		clock.advance(5);
		assert.equal(condition.isSilent, false);
		condition.asked();
		clock.advance(20);
		assert.equal(condition.isSilent, true);
		condition.checked(4);
		assert.equal(condition.isSilent, false);
	});

	describe('an upstream that never answers what it cannot queue', () => {
		const usualMs = 100;

		it('should be silent while a request is long overdue, whatever health checks say', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const request = condition.sent(usualMs, usualMs);
			clock.advance(usualMs * 2);
			assert.equal(condition.isSilent, false);
			clock.advance(usualMs);
			condition.reported(report);
			assert.equal(condition.isSilent, true);
			condition.ended(request, true);
			assert.equal(condition.isSilent, false);
		});

		it('should be blamed for a request that was given up overdue, and for no other', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const early = condition.sent(usualMs, usualMs);
			clock.advance(usualMs);
			condition.ended(early, false);
			assert.equal(condition.failureRatio, 0);
			const late = condition.sent(usualMs, usualMs);
			clock.advance(usualMs * 3);
			condition.ended(late, false);
			assert.ok(condition.failureRatio > 0);
		});
	});

	it('should be blamed for a refusal, whatever load it reports', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.reported(report);
		condition.refused(4);
		assert.equal(condition.report, report);
		assert.ok(condition.failureRatio > 0);
	});

	describe('an upstream that breaks off health checks', () => {
		it('should go after others, but be taken out by none of them', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.reported(report);
			for (let check = 0; check < 20; check++) {
				condition.asked();
				condition.checkBroken();
				clock.advance(100);
			}

			assert.equal(condition.isAvoided, false);
			assert.equal(condition.isSilent, false);
			assert.equal(condition.report, undefined);
			assert.ok(condition.failureRatio > 0);
		});

		it('should be cleared by the requests that it answers', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.checkBroken();
			const blamed = condition.failureRatio;
			condition.succeeded();
			assert.ok(condition.failureRatio < blamed);
		});
	});

	describe('an upstream that tells no load', () => {
		it('should count own requests until they end, whatever health checks say', () => {
			const condition = new UpstreamCondition(new ManualClock());
			const marks = [condition.sent(100), condition.sent(100), condition.sent(100)];
			condition.checked(4);
			assert.equal(condition.unreportedInFlight, 3);
			for (const mark of marks) {
				condition.ended(mark, true);
			}

			assert.equal(condition.unreportedInFlight, 0);
		});

		it('should count as slow as the last own request there, for a moment', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const mark = condition.sent(100);
			clock.advance(500);
			condition.ended(mark, true);
			condition.checked(4);
			assert.equal(condition.report?.slowness, 5);
			clock.advance(401);
			condition.checked(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as slow as an own request there is overdue', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.sent(100);
			clock.advance(120);
			condition.checked(4);
			assert.equal(condition.report?.slowness, 1);
			clock.advance(180);
			assert.equal(condition.report?.slowness, 3);
		});

		it('should learn no speed from requests that were given up', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const mark = condition.sent(100);
			clock.advance(500);
			condition.ended(mark, false);
			condition.checked(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as full for a moment after a refusal', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.refused(4);
			assert.equal(condition.report?.running, 4);
			clock.advance(1000);
			assert.equal(condition.report, undefined);
		});

		it('should be taken at its word from its first report on', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.reported(report);
			condition.checked(4);
			condition.refused(4);
			assert.equal(condition.report, report);
		});
	});

	it('should blame failures and let the blame fade', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.failed();
		condition.failed();
		const blamed = condition.failureRatio;
		assert.ok(blamed > 0.3);
		clock.advance(3000);
		assert.ok(Math.abs(condition.failureRatio - (blamed / 2)) < 0.01);
		condition.succeeded();
		assert.ok(condition.failureRatio < blamed / 2);
	});
});
