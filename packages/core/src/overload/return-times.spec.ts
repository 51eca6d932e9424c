import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {OverloadMeter} from './overload-meter.js';
import {ReturnTimes, shortDelayMs, type RefusedRequest} from './return-times.js';

const service = 'desk' as ServiceId;
const request: RefusedRequest = {
	service, workMs: 100, targetAtMs: 300, deadlineAtMs: 3600, hasReturned: false, canReturnLater: true,
};

function create({admitted, refused}: {readonly admitted: number; readonly refused: number}): ReturnTimes {
	const clock = new ManualClock();
	const meter = new OverloadMeter(clock);
	for (let count = 0; count < admitted; count++) {
		meter.recordAdmitted({service, priority: 1});
	}

	for (let count = 0; count < refused; count++) {
		meter.recordRefused({service, priority: 1});
	}

	return new ReturnTimes({clock, random: createRandomSource(5), meter});
}

describe('ReturnTimes', () => {
	it('should tell a short delay after a single refusal', () => {
		assert.equal(create({admitted: 20, refused: 1}).delayMs(request), shortDelayMs);
	});

	describe('during an overload', () => {
		const delays = (overrides: Partial<RefusedRequest>, count = 12) => {
			const times = create({admitted: 20, refused: 20});
			return Array.from({length: count}, () => times.delayMs({...request, ...overrides}));
		};

		it('should let callers return first that can still be in time, spread', () => {
			const inTime = delays({});
			assert.ok(inTime.every(delayMs => delayMs + request.workMs <= request.targetAtMs), inTime.join(' '));
			assert.ok(new Set(inTime).size > 10);
			assert.ok(Math.max(...inTime) < Math.min(...delays({targetAtMs: 120})));
		});

		it('should plan the others one after the other, then at random', () => {
			const planned = delays({hasReturned: true});
			assert.deepEqual(planned.slice(0, 3).map(delayMs => Math.round(delayMs)), [400, 800, 1200]);
			assert.ok(planned.slice(3).every(delayMs => delayMs >= 600 && delayMs <= 1200), planned.join(' '));
		});

		it('should send callers that return into the same rush back as soon as outside of one', () => {
			assert.deepEqual(new Set(delays({deadlineAtMs: 720, canReturnLater: false})), new Set([shortDelayMs]));
		});

		it('should never tell a time that callers do not honour, nor one after the deadline', () => {
			for (const deadlineAtMs of [0, 30, 300, 3600]) {
				for (const hasReturned of [true, false]) {
					assert.ok(delays({deadlineAtMs, hasReturned}).every(delayMs => delayMs <= deadlineAtMs / 3), `${deadlineAtMs}`);
				}
			}
		});
	});
});
