import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import type {Clock} from '@cairnbank/core';
import type {AttemptDependencies} from './attempt-dependencies.js';
import {AttemptLoop} from './attempt-loop.js';
import type {Call} from './call.js';

const deadlineAtMs = 50;
const ignore = () => undefined;

/** Advances by `stepMs` with each reading, as a clock does while its process is preempted. */
class AdvancingClock implements Clock {
	nowMs = 0;
	stepMs = 0;

	monotonicMs(): number {
		const {nowMs} = this;
		this.nowMs += this.stepMs;
		return nowMs;
	}

	now(): Date {
		return new Date(this.nowMs);
	}
}

const paymentCall = {
	serviceId: 'ledger',
	service: {rules: {retries: {maximumAttempts: 2}}},
	method: 'POST',
	path: '/',
	headers: [],
	requestClass: {priority: 1},
	idempotent: false,
	deadlineAtMs,
	trace: {hop: () => ({headers: {}, end: ignore})},
	cancellation: {cancelled: false, onCancel: () => ignore},
} as unknown as Call;

/** Returns dependencies with a single upstream to which no connection is ever established. */
function createDependencies(clock: Clock): AttemptDependencies {
	const chosen = {
		upstream: {id: 'u1'}, dispatcher: {dispatch: ignore}, onHead: ignore, onEnd: ignore,
	};
	return {
		clock,
		heldAnswerBytes: 1000,
		heldAnswers: {isFull: false, add: ignore, remove: ignore},
		budgets: {hedgingFor: ignore, retryBudgetFor: () => ({deposit: ignore, tryWithdraw: () => true})},
		crashCheck: {check: ignore},
		poisonGuard: {refusal: ignore, recordStart: ignore, recordOutcome: ignore},
		metrics: {
			countAttempt: ignore, countOutcome: ignore, observeAddedLatency: ignore, countCancelledAttempt: ignore,
		},
		choose: () => chosen,
	} as unknown as AttemptDependencies;
}

describe('AttemptLoop', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	describe('while a connection is being opened', () => {
		it('should report a request as not run if its deadline passes', async () => {
			const clock = new AdvancingClock();
			const outcome = new AttemptLoop(paymentCall, createDependencies(clock)).run();
			clock.nowMs = deadlineAtMs;
			mock.timers.tick(deadlineAtMs);
			assert.deepEqual(await outcome, {type: 'not-run', reason: 'deadline-exceeded'});
		});

		it('should report a request as not run if the timer fires early and the deadline passes between two readings of the clock', async () => {
			const clock = new AdvancingClock();
			const outcome = new AttemptLoop(paymentCall, createDependencies(clock)).run();
			clock.nowMs = deadlineAtMs - 0.1;
			clock.stepMs = 0.2;
			mock.timers.tick(deadlineAtMs);
			mock.timers.tick(1);
			assert.deepEqual(await outcome, {type: 'not-run', reason: 'deadline-exceeded'});
		});
	});
});
