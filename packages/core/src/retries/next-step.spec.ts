import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {upstreamIdSchema} from '../model/ids.js';
import type {AttemptResult} from '../outcomes/attempt-result.js';
import {notRunReasons} from '../outcomes/not-run-reason.js';
import {unknownReasons} from '../outcomes/unknown-reason.js';
import {AttemptBudget} from './attempt-budget.js';
import type {Attempt, AttemptEnd} from './attempt.js';
import {finalOutcome} from './final-outcome.js';
import {nextStep} from './next-step.js';
import type {RetryPolicy} from './retry-policy.js';

const seed = 20_260_105;
const refused: AttemptResult = {type: 'not-run', reason: 'connection-refused'};
const lost: AttemptResult = {type: 'unknown', reason: 'connection-lost'};

function answer(statusCode: number): AttemptResult {
	return {type: 'answered', answer: {statusCode, headers: [], body: new Uint8Array(0)}};
}

function ended(result: AttemptResult, flags: Partial<AttemptEnd> = {}, id = 'a'): Attempt {
	return {
		kind: 'first', upstream: upstreamIdSchema.parse(id), startedAtMs: 0, end: {
			result, noRetry: false, suspect: false, ...flags,
		},
	};
}

function running(id = 'a'): Attempt {
	return {kind: 'first', upstream: upstreamIdSchema.parse(id), startedAtMs: 0};
}

function policy(changes: Partial<RetryPolicy> = {}): RetryPolicy {
	const retryBudget = new AttemptBudget({ratio: 1, floorPerSecond: 1, decayTimeMs: 1000}, 0);
	return {
		idempotent: true, maximumAttempts: 3, deadlineAtMs: 100, retryBudget, ...changes,
	};
}

function hedging(ratio: number) {
	const budget = new AttemptBudget({ratio, floorPerSecond: 0, decayTimeMs: 1000}, 0);
	budget.deposit(0);
	return {delayMs: 20, budget};
}

describe('next step', () => {
	describe('retries', () => {
		it('should retry an idempotent request at another upstream after a lost connection', () => {
			assert.deepEqual(nextStep([ended(lost)], policy(), 5), {type: 'start', kind: 'retry', excluding: ['a']});
			assert.equal(nextStep([ended(lost)], policy({idempotent: false}), 5).type, 'finish');
		});

		it('should retry an idempotent request at another upstream after a failing answer', () => {
			assert.equal(nextStep([ended(answer(500))], policy(), 5).type, 'start');
			assert.equal(nextStep([ended(answer(503))], policy(), 5).type, 'start');
			assert.equal(nextStep([ended(answer(503))], policy({idempotent: false}), 5).type, 'finish');
			assert.equal(nextStep([ended(answer(501))], policy(), 5).type, 'finish');
		});

		it('should retry a non-idempotent request only where every attempt provably did not run', () => {
			assert.equal(nextStep([ended(refused)], policy({idempotent: false}), 5).type, 'start');
			const step = nextStep([ended(refused), ended(lost, {}, 'b')], policy({idempotent: false}), 5);
			assert.deepEqual(step, {type: 'finish', outcome: lost, noRetry: true});
		});

		it('should stop at the number of attempts, at an empty budget and at the deadline', () => {
			assert.equal(nextStep([ended(lost)], policy({maximumAttempts: 1}), 5).type, 'finish');
			assert.equal(nextStep([ended(lost)], policy(), 100).type, 'finish');
			assert.equal(nextStep([ended(lost)], policy(), 99.5).type, 'finish');
			const spent = policy({retryBudget: new AttemptBudget({ratio: 0, floorPerSecond: 0, decayTimeMs: 1}, 0)});
			assert.equal(nextStep([ended(lost)], spent, 5).type, 'finish');
		});

		it('should not retry after an answer marked as not to be retried, nor a request suspected of crashing an upstream', () => {
			assert.equal(nextStep([ended(refused, {noRetry: true})], policy(), 5).type, 'finish');
			assert.equal(nextStep([ended(lost, {suspect: true})], policy(), 5).type, 'finish');
		});
	});

	describe('hedges', () => {
		it('should start one hedge after the delay', () => {
			const withHedge = policy({hedging: hedging(1)});
			assert.deepEqual(nextStep([running()], withHedge, 5), {type: 'wait', hedgeAtMs: 20});
			assert.deepEqual(nextStep([running()], withHedge, 20), {type: 'start', kind: 'hedge', excluding: ['a']});
			assert.deepEqual(nextStep([running()], withHedge, 20), {type: 'wait'});
		});

		it('should not start one after the deadline, nor for a non-idempotent request', () => {
			assert.deepEqual(nextStep([running()], policy({hedging: hedging(1), deadlineAtMs: 20}), 5), {type: 'wait'});
			assert.deepEqual(nextStep([running()], policy({hedging: hedging(1), idempotent: false}), 20), {type: 'wait'});
		});

		it('should end with the first successful answer and wait for the other attempt after a failure', () => {
			assert.equal(nextStep([running(), ended(answer(200), {}, 'b')], policy(), 30).type, 'finish');
			assert.deepEqual(nextStep([ended(lost), running('b')], policy(), 30), {type: 'wait'});
		});
	});
});

describe('final outcome', () => {
	const result: fc.Arbitrary<AttemptResult> = fc.oneof(
		fc.constantFrom(...notRunReasons).map(reason => ({type: 'not-run', reason} as const)),
		fc.constantFrom(...unknownReasons).map(reason => ({type: 'unknown', reason} as const)),
		fc.constantFrom(200, 404, 502, 503).map(statusCode => answer(statusCode)),
	);
	const attempt = fc.oneof(result.map(one => ended(one)), fc.constant(running()));

	it('should be not-run only where every attempt provably did not run', () => {
		fc.assert(fc.property(fc.array(attempt, {minLength: 1, maxLength: 5}), attempts => {
			const isNotRun = finalOutcome(attempts).type === 'not-run';
			assert.equal(isNotRun, attempts.every(one => one.end?.result.type === 'not-run'));
		}), {seed});
	});

	it('should prefer a successful answer to a failing one', () => {
		assert.deepEqual(finalOutcome([ended(answer(503)), ended(answer(200))]), answer(200));
		assert.deepEqual(finalOutcome([ended(answer(502)), ended(lost), ended(answer(503))]), answer(503));
	});

	it('should return the shortest retry-after time', () => {
		const shed = (retryAfterMs: number): AttemptResult => ({type: 'not-run', reason: 'shed-by-upstream', retryAfterMs});
		assert.deepEqual(finalOutcome([ended(shed(20)), ended(shed(50))]), shed(20));
	});

	it('should never retry a non-idempotent request that may have run, after any sequence of attempts', () => {
		fc.assert(fc.property(fc.array(attempt, {minLength: 1, maxLength: 4}), attempts => {
			const step = nextStep(attempts, policy({idempotent: false, maximumAttempts: 9, hedging: hedging(9)}), 50);
			if (step.type === 'start') {
				assert.ok(attempts.every(one => one.end?.result.type === 'not-run'));
			}
		}), {seed});
	});
});
