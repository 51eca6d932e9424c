import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {UpstreamCondition} from './upstream-condition.js';

const report = {
	running: 1, waiting: 0, slots: 4, slowness: 1,
};

describe('UpstreamCondition', () => {
	it('should discard a report once it has expired', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.recordLoadReport(report);
		assert.equal(condition.report, report);
		clock.advance(1000);
		assert.equal(condition.report, undefined);
	});

	it('should count the requests sent since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.recordRequestSent(100);
		condition.recordRequestSent(100);
		assert.equal(condition.unreportedInFlight, 2);
		condition.recordLoadReport(report);
		assert.equal(condition.unreportedInFlight, 0);
	});

	it('should no longer count requests that have ended since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		const request = condition.recordRequestSent(100);
		condition.recordRequestEnd(request, true);
		assert.equal(condition.unreportedInFlight, 0);
		const counted = condition.recordRequestSent(100);
		condition.recordLoadReport(report);
		condition.recordRequestEnd(counted, true);
		assert.equal(condition.unreportedInFlight, 0);
	});

	describe('an upstream that could not be reached', () => {
		it('should be checked again after an interval that grows each time, and stay unreachable until it answers', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const nextCheckInMs = () => {
				let elapsedMs = 0;
				while (!condition.isHealthCheckDue) {
					clock.advance(10);
					elapsedMs += 10;
				}

				return elapsedMs;
			};

			condition.recordUnreachable();
			const first = nextCheckInMs();
			condition.recordUnreachable();
			assert.ok(nextCheckInMs() > first);
			clock.advance(60_000);
			assert.equal(condition.isUnreachable, true);
			condition.recordLoadReport(report);
			assert.equal(condition.isUnreachable, false);
		});

		it('should be checked by one health check at a time', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordUnreachable();
			clock.advance(1000);
			condition.recordHealthCheckSent();
			assert.equal(condition.isHealthCheckDue, false);
		});
	});

	it('should be unresponsive while a health check takes longer than usual', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.recordHealthCheckSent();
		clock.advance(5);
		assert.equal(condition.isUnresponsive, false);
		condition.recordHealthCheckSent();
		clock.advance(20);
		assert.equal(condition.isUnresponsive, true);
		condition.recordHealthCheckPassed(4);
		assert.equal(condition.isUnresponsive, false);
	});

	describe('an upstream that never answers requests that it cannot queue', () => {
		const usualMs = 100;

		it('should be unresponsive while a request is long overdue, even if health checks are answered', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const request = condition.recordRequestSent(usualMs, usualMs);
			clock.advance(usualMs * 2);
			assert.equal(condition.isUnresponsive, false);
			clock.advance(usualMs);
			condition.recordLoadReport(report);
			assert.equal(condition.isUnresponsive, true);
			condition.recordRequestEnd(request, true);
			assert.equal(condition.isUnresponsive, false);
		});

		it('should have a failure recorded for a request that was cancelled when overdue, and for no other', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const early = condition.recordRequestSent(usualMs, usualMs);
			clock.advance(usualMs);
			condition.recordRequestEnd(early, false);
			assert.equal(condition.failureRatio, 0);
			const late = condition.recordRequestSent(usualMs, usualMs);
			clock.advance(usualMs * 3);
			condition.recordRequestEnd(late, false);
			assert.ok(condition.failureRatio > 0);
		});
	});

	it('should have a failure recorded for a refusal, whatever load it reports', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.recordLoadReport(report);
		condition.recordRefusal(4);
		assert.equal(condition.report, report);
		assert.ok(condition.failureRatio > 0);
	});

	describe('an upstream that aborts health checks', () => {
		it('should rank behind others, but stay in use after any number of them', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordLoadReport(report);
			for (let check = 0; check < 20; check++) {
				condition.recordHealthCheckSent();
				condition.recordHealthCheckAborted();
				clock.advance(100);
			}

			assert.equal(condition.isUnreachable, false);
			assert.equal(condition.isUnresponsive, false);
			assert.equal(condition.report, undefined);
			assert.ok(condition.failureRatio > 0);
		});

		it('should have a lower failure ratio after requests that it answers', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.recordHealthCheckAborted();
			const ratioBefore = condition.failureRatio;
			condition.recordSuccess();
			assert.ok(condition.failureRatio < ratioBefore);
		});
	});

	describe('an upstream that reports no load', () => {
		it('should count requests of this instance until they end, whatever health checks report', () => {
			const condition = new UpstreamCondition(new ManualClock());
			const requests = [condition.recordRequestSent(100), condition.recordRequestSent(100), condition.recordRequestSent(100)];
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.unreportedInFlight, 3);
			for (const request of requests) {
				condition.recordRequestEnd(request, true);
			}

			assert.equal(condition.unreportedInFlight, 0);
		});

		it('should count as slow as the last request of this instance there for a short time', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const request = condition.recordRequestSent(100);
			clock.advance(500);
			condition.recordRequestEnd(request, true);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 5);
			clock.advance(401);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as slow as a request of this instance there is overdue', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordRequestSent(100);
			clock.advance(120);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
			clock.advance(180);
			assert.equal(condition.report?.slowness, 3);
		});

		it('should not derive the speed from cancelled requests', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const request = condition.recordRequestSent(100);
			clock.advance(500);
			condition.recordRequestEnd(request, false);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as full for a short time after a refusal', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordRefusal(4);
			assert.equal(condition.report?.running, 4);
			clock.advance(1000);
			assert.equal(condition.report, undefined);
		});

		it('should use only its reports from the first one on', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.recordLoadReport(report);
			condition.recordHealthCheckPassed(4);
			condition.recordRefusal(4);
			assert.equal(condition.report, report);
		});
	});

	it('should increase the failure ratio with failures and let it decay', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.recordFailure();
		condition.recordFailure();
		const ratioBefore = condition.failureRatio;
		assert.ok(ratioBefore > 0.3);
		clock.advance(3000);
		assert.ok(Math.abs(condition.failureRatio - (ratioBefore / 2)) < 0.01);
		condition.recordSuccess();
		assert.ok(condition.failureRatio < ratioBefore / 2);
	});
});
