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
		condition.recordLoadReport(report);
		assert.equal(condition.report, report);
		clock.advance(1000);
		assert.equal(condition.report, undefined);
	});

	it('should count what was sent since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.recordRequestSent(100);
		condition.recordRequestSent(100);
		assert.equal(condition.unreportedInFlight, 2);
		condition.recordLoadReport(report);
		assert.equal(condition.unreportedInFlight, 0);
	});

	it('should no longer count what has ended since the report', () => {
		const condition = new UpstreamCondition(new ManualClock());
		const mark = condition.recordRequestSent(100);
		condition.recordRequestEnd(mark, true);
		assert.equal(condition.unreportedInFlight, 0);
		const counted = condition.recordRequestSent(100);
		condition.recordLoadReport(report);
		condition.recordRequestEnd(counted, true);
		assert.equal(condition.unreportedInFlight, 0);
	});

	describe('an upstream that could not be reached', () => {
		it('should be checked again after a pause that grows each time, and left alone until it answers', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const pauseMs = () => {
				let elapsedMs = 0;
				while (!condition.isHealthCheckDue) {
					clock.advance(10);
					elapsedMs += 10;
				}

				return elapsedMs;
			};

			condition.recordUnreachable();
			const first = pauseMs();
			condition.recordUnreachable();
			assert.ok(pauseMs() > first);
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

	it('should be silent while a health check takes longer than one does', () => {
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

	describe('an upstream that never answers what it cannot queue', () => {
		const usualMs = 100;

		it('should be silent while a request is long overdue, whatever health checks say', () => {
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

		it('should be blamed for a request that was given up overdue, and for no other', () => {
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

	it('should be blamed for a refusal, whatever load it reports', () => {
		const condition = new UpstreamCondition(new ManualClock());
		condition.recordLoadReport(report);
		condition.recordRefusal(4);
		assert.equal(condition.report, report);
		assert.ok(condition.failureRatio > 0);
	});

	describe('an upstream that breaks off health checks', () => {
		it('should go after others, but be taken out by none of them', () => {
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

		it('should be cleared by the requests that it answers', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.recordHealthCheckAborted();
			const blamed = condition.failureRatio;
			condition.recordSuccess();
			assert.ok(condition.failureRatio < blamed);
		});
	});

	describe('an upstream that tells no load', () => {
		it('should count own requests until they end, whatever health checks say', () => {
			const condition = new UpstreamCondition(new ManualClock());
			const marks = [condition.recordRequestSent(100), condition.recordRequestSent(100), condition.recordRequestSent(100)];
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.unreportedInFlight, 3);
			for (const mark of marks) {
				condition.recordRequestEnd(mark, true);
			}

			assert.equal(condition.unreportedInFlight, 0);
		});

		it('should count as slow as the last own request there, for a moment', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const mark = condition.recordRequestSent(100);
			clock.advance(500);
			condition.recordRequestEnd(mark, true);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 5);
			clock.advance(401);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as slow as an own request there is overdue', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordRequestSent(100);
			clock.advance(120);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
			clock.advance(180);
			assert.equal(condition.report?.slowness, 3);
		});

		it('should learn no speed from requests that were given up', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			const mark = condition.recordRequestSent(100);
			clock.advance(500);
			condition.recordRequestEnd(mark, false);
			condition.recordHealthCheckPassed(4);
			assert.equal(condition.report?.slowness, 1);
		});

		it('should count as full for a moment after a refusal', () => {
			const clock = new ManualClock();
			const condition = new UpstreamCondition(clock);
			condition.recordRefusal(4);
			assert.equal(condition.report?.running, 4);
			clock.advance(1000);
			assert.equal(condition.report, undefined);
		});

		it('should be taken at its word from its first report on', () => {
			const condition = new UpstreamCondition(new ManualClock());
			condition.recordLoadReport(report);
			condition.recordHealthCheckPassed(4);
			condition.recordRefusal(4);
			assert.equal(condition.report, report);
		});
	});

	it('should blame failures and let the blame fade', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		condition.recordFailure();
		condition.recordFailure();
		const blamed = condition.failureRatio;
		assert.ok(blamed > 0.3);
		clock.advance(3000);
		assert.ok(Math.abs(condition.failureRatio - (blamed / 2)) < 0.01);
		condition.recordSuccess();
		assert.ok(condition.failureRatio < blamed / 2);
	});
});
