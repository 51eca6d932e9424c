import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {expectedDurationMs, lastSlotSlowness, unknownSlowness} from './expected-duration.js';
import {UpstreamCondition} from './upstream-condition.js';
import {WorkEstimates} from './work-estimate.js';

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
		condition.sent();
		condition.sent();
		assert.equal(condition.unreportedInFlight, 2);
		condition.reported(report);
		assert.equal(condition.unreportedInFlight, 0);
	});

	it('should be left alone for longer each time it could not be reached, until it answers', () => {
		const clock = new ManualClock();
		const condition = new UpstreamCondition(clock);
		const avoidedForMs = () => {
			let elapsedMs = 0;
			while (condition.isAvoided) {
				clock.advance(10);
				elapsedMs += 10;
			}

			return elapsedMs;
		};

		condition.unreachable();
		const first = avoidedForMs();
		condition.unreachable();
		assert.ok(avoidedForMs() > first);
		condition.unreachable();
		condition.reported(report);
		assert.equal(condition.isAvoided, false);
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

describe('expectedDurationMs', () => {
	const inputs = {
		workMs: 100, report, unreportedInFlight: 0, slots: 4, warmingUp: false,
	};

	it('should be the work where a slot is free', () => {
		assert.equal(expectedDurationMs(inputs), 100);
	});

	it('should be longer where the last slot is taken', () => {
		assert.equal(expectedDurationMs({...inputs, report: {...report, running: 2}}), 100);
		assert.equal(expectedDurationMs({...inputs, report: {...report, running: 3}}), 100 * lastSlotSlowness);
	});

	it('should grow with the slowness that the upstream reports', () => {
		assert.equal(expectedDurationMs({...inputs, report: {...report, slowness: 7}}), 700);
	});

	it('should add the wait for a slot, counting what was sent since the report', () => {
		assert.ok(expectedDurationMs({...inputs, unreportedInFlight: 3}) > 100);
	});

	it('should take an upstream without a report for slower than usual', () => {
		assert.equal(expectedDurationMs({...inputs, report: undefined}), 100 * unknownSlowness);
	});

	it('should take an upstream that has just started for slow', () => {
		assert.equal(expectedDurationMs({...inputs, warmingUp: true}), 200);
	});
});

describe('WorkEstimates', () => {
	it('should guess from the target latency until something is measured', () => {
		const work = new WorkEstimates();
		assert.ok(work.expectedMs('r', 100) < 100);
		work.learn('r', 30, 1);
		assert.equal(work.expectedMs('r', 100), 30);
	});

	it('should set what a slow upstream took against its slowness', () => {
		const work = new WorkEstimates();
		work.learn('r', 210, 7);
		assert.equal(work.expectedMs('r', 100), 30);
	});

	it('should never pass the target latency, whatever the first answer took', () => {
		const work = new WorkEstimates();
		work.learn('r', 900, 1);
		assert.equal(work.expectedMs('r', 100), 100);
	});

	it('should not be moved far by one outlier', () => {
		const work = new WorkEstimates();
		work.learn('r', 30, 1);
		work.learn('r', 3000, 1);
		assert.ok(work.expectedMs('r', 100) < 35);
	});
});
