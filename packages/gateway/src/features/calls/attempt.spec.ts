import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {FullResets} from '@cairnbank/core/overload';
import {UpstreamCondition, type LoadReport} from '@cairnbank/core/placement';
import {err, ok, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import type {RequestDialect} from '../../ports/index.js';
import type {ExchangeFailure, OutgoingRequest} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import type {Placement} from '../upstreams/placement.js';
import {Attempt} from './attempt.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';

const idle: LoadReport = {
	running: 0, waiting: 0, slots: 4, slowness: 1,
};

const dialect = {
	deadlineHeader: 'deadline', expectedUpstreamHeader: 'expect', signatureHeader: 'signature', notExecutedHeader: 'not-run', loadHeader: 'load',
	parseLoad: () => idle,
} as unknown as RequestDialect;

const expectedMs = 10;

/** Sends one attempt that ends with `result` after `tookMs`, which `late` follows if given, and returns the condition of its upstream. */
async function conditionAfterEnd(result: Result<UpstreamAnswer, ExchangeFailure>, tookMs: number, late?: UpstreamAnswer): Promise<UpstreamCondition> {
	const clock = new ManualClock();
	const condition = new UpstreamCondition(clock);
	const connection = {
		async exchange({onLateEnd}: OutgoingRequest) {
			clock.advance(tookMs);
			if (late !== undefined) {
				queueMicrotask(() => onLateEnd?.(ok(late)));
			}

			return result;
		},
	};
	const placement = {
		upstream: {registered: {id: 'u1', slots: 4}, condition, pool: {take: () => connection, release: () => undefined}},
		workMs: 10,
		expectedMs,
		slowness: 1,
		durationRatio: 1,
		isLightlyLoaded: true,
		isLoadKnown: true,
		isLoadAwaited: false,
		room: {
			report: undefined, reportAgeMs: 0, unreportedInFlight: 0, slots: 4,
		},
	} as unknown as Placement;
	const dependencies = {
		clock, dialect, metrics: createMetrics(), workEstimates: {update: () => undefined},
		fullResets: new FullResets(clock), advisories: {received: () => undefined}, rateLimits: {answered: () => undefined},
		poisonGuard: {recordAnswer: () => undefined}, onAbandoned: () => undefined, onAbandonedAnswered: () => undefined,
	} as unknown as CallDependencies;
	const call = {
		method: 'GET', target: '/', headers: [], route: {id: 'r'},
	} as unknown as Call;
	await new Attempt(dependencies, call, 'first', placement).run(100);
	return condition;
}

/** Sends one attempt that gets this answer with a load report, and returns the condition of its upstream. */
async function conditionAfter(status: number, ...headers: string[]): Promise<UpstreamCondition> {
	return conditionAfterEnd(ok(answerOf(status, [...headers, 'load', 'idle'])), 0);
}

describe('Attempt', () => {
	it('should record the load report in an answer', async () => {
		const condition = await conditionAfter(200, 'signature', 's');
		assert.equal(condition.report, idle);
	});

	it('should avoid an upstream whose address another one answers at, and ignore the load report of that one', async () => {
		const condition = await conditionAfter(421);
		assert.equal(condition.isUnreachable, true);
		assert.equal(condition.report, undefined);
	});

	it('should count a failure of an upstream that refuses a request although it reports free slots', async () => {
		const condition = await conditionAfter(503, 'not-run', '1');
		assert.ok(condition.failureRatio > 0);
		assert.equal(condition.isUnreachable, false);
	});

	describe('that is cancelled', () => {
		const cancelled = err({type: 'cancelled'} as const);

		it('should count a failure of an upstream that is silent far beyond the expected duration', async () => {
			const condition = await conditionAfterEnd(cancelled, expectedMs * 10);
			assert.ok(condition.failureRatio > 0);
		});

		it('should count no failure of an upstream that may still answer in time', async () => {
			const condition = await conditionAfterEnd(cancelled, expectedMs);
			assert.equal(condition.failureRatio, 0);
		});

		it('should still take in what an answer says that arrives just afterwards, but not that of another upstream', async () => {
			for (const [status, report] of [[503, idle], [421, undefined]] as const) {
				const condition = await conditionAfterEnd(cancelled, expectedMs, answerOf(status, ['not-run', '1', 'load', 'idle']));
				assert.equal(condition.report, report);
			}
		});
	});
});
