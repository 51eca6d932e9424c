import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {Admission, type AdmissionRequest} from './admission.js';
import {lastSlotSlowness} from './expected-duration.js';

const ledger = 'ledger' as ServiceId;
const portal = 'portal' as ServiceId;

function request(service: ServiceId, priority: number, deadlineAtMs = 1000): AdmissionRequest {
	return {
		service, priority, route: {targetLatencyMs: 200}, receivedAtMs: 0, deadlineAtMs,
	};
}

function latestEndMs(admission: Admission, priority: number, deadlineAtMs?: number): number {
	return admission.latestEndMs(request(ledger, priority, deadlineAtMs));
}

describe('Admission', () => {
	it('should give a request its whole target latency while no more urgent requests arrive', () => {
		const admission = new Admission(new ManualClock());
		admission.recordArrival(request(ledger, 2));
		assert.equal(latestEndMs(admission, 2), 200);
	});

	it('should never give more time than the deadline leaves', () => {
		assert.equal(latestEndMs(new Admission(new ManualClock()), 0, 120), 120);
	});

	it('should give less time the more urgent priorities are in use at the service', () => {
		const admission = new Admission(new ManualClock());
		admission.recordArrival(request(ledger, 1));
		assert.equal(latestEndMs(admission, 1), 200);
		const belowOne = latestEndMs(admission, 2);
		assert.ok(belowOne < 200);
		admission.recordArrival(request(ledger, 0));
		assert.ok(latestEndMs(admission, 2) < belowOne);
	});

	it('should not count requests for other services', () => {
		const admission = new Admission(new ManualClock());
		admission.recordArrival(request(portal, 0));
		assert.equal(latestEndMs(admission, 2), 200);
	});

	it('should no longer count a priority that is not used any more', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock);
		admission.recordArrival(request(ledger, 0));
		clock.advance(10_001);
		assert.equal(latestEndMs(admission, 2), 200);
	});

	describe('requests whose work is 0.4 of their target latency', () => {
		const workMs = 80;
		const belowOne = () => {
			const admission = new Admission(new ManualClock());
			admission.recordArrival(request(ledger, 1));
			return admission;
		};

		it('should be sent to the last free slot even below a more urgent priority, whether the upstream has one slot or sixteen', () => {
			assert.equal(belowOne().mayEndInTime(request(ledger, 2), workMs * lastSlotSlowness), true);
		});

		it('should be sent to queue for a slot of an upstream of usual speed', () => {
			assert.equal(belowOne().mayEndInTime(request(ledger, 2), workMs * lastSlotSlowness * 1.5), true);
		});

		it('should not be sent where they are unlikely to end in time', () => {
			assert.equal(belowOne().mayEndInTime(request(ledger, 2), workMs * 4), false);
			assert.equal(belowOne().mayEndInTime(request(ledger, 1), workMs * 4), false);
		});

		it('should be refused before more urgent ones', () => {
			const between = workMs * 2.8;
			assert.equal(belowOne().mayEndInTime(request(ledger, 1), between), true);
			assert.equal(belowOne().mayEndInTime(request(ledger, 2), between), false);
		});
	});
});
