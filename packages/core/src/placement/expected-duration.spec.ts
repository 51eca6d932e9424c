import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {expectedDurationMs, lastSlotSlowness} from './expected-duration.js';
import {reportLifetimeMs} from './upstream-condition.js';

const report = {
	running: 1, waiting: 0, slots: 4, slowness: 1,
};

describe('expectedDurationMs', () => {
	const inputs = {
		workMs: 100, report, reportAgeMs: 0, typicalRatio: 1.6, unreportedInFlight: 0, slots: 4, warmingUp: false,
	};

	it('should equal the work where a slot is free', () => {
		assert.equal(expectedDurationMs(inputs), 100);
	});

	it('should be longer where the last slot is taken', () => {
		assert.equal(expectedDurationMs({...inputs, report: {...report, running: 2}}), 100);
		assert.equal(expectedDurationMs({...inputs, report: {...report, running: 3}}), 100 * lastSlotSlowness);
	});

	it('should grow with the slowness that the upstream reports', () => {
		assert.equal(expectedDurationMs({...inputs, report: {...report, slowness: 7}}), 700);
	});

	it('should add the wait for a slot, counting the requests sent since the report', () => {
		assert.ok(expectedDurationMs({...inputs, unreportedInFlight: 3}) > 100);
	});

	it('should expect the typical duration at an upstream without a report', () => {
		assert.equal(expectedDurationMs({...inputs, report: undefined}), 160);
		assert.equal(expectedDurationMs({...inputs, report: undefined, typicalRatio: 3}), 300);
	});

	it('should add the wait for requests of this instance at an upstream without a report', () => {
		assert.ok(expectedDurationMs({...inputs, report: undefined, unreportedInFlight: 4}) > 160);
	});

	it('should give a report less weight the older it is', () => {
		const atAge = (reportAgeMs: number) => expectedDurationMs({...inputs, reportAgeMs, typicalRatio: 3});
		assert.ok(atAge(100) > 100 && atAge(100) < atAge(200));
		assert.equal(atAge(reportLifetimeMs), 300);
	});

	it('should prefer a free last slot to an upstream without a report while most upstreams are busy', () => {
		const lastSlotMs = expectedDurationMs({...inputs, report: {...report, running: 3}});
		assert.ok(lastSlotMs < expectedDurationMs({...inputs, report: undefined, typicalRatio: 2.2}));
	});

	it('should expect an upstream that has just started to be slow', () => {
		assert.equal(expectedDurationMs({...inputs, warmingUp: true}), 200);
	});
});
