import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition, type LoadReport} from '@cairnbank/core/placement';
import {err, ok, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import type {RequestDialect} from '../../ports/index.js';
import type {ExchangeFailure, UpstreamAnswer} from '../upstreams/exchange.js';
import type {Placement} from '../upstreams/placer.js';
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

/** Sends one attempt to an upstream that ends it like this after some time. */
async function conditionAfterEnd(result: Result<UpstreamAnswer, ExchangeFailure>, tookMs: number): Promise<UpstreamCondition> {
	const clock = new ManualClock();
	const condition = new UpstreamCondition(clock);
	const connection = {
		async exchange() {
			clock.advance(tookMs);
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
	} as unknown as Placement;
	const dependencies = {
		clock, dialect, metrics: createMetrics(), work: {learn: () => undefined}, advisories: {received: () => undefined}, rateLimits: {answered: () => undefined},
	} as unknown as CallDependencies;
	const call = {
		method: 'GET', target: '/', headers: [], route: {id: 'r'},
	} as unknown as Call;
	await new Attempt(dependencies, call, 'first', placement).run(100);
	return condition;
}

/** Sends one attempt to an upstream that gives this answer, with a load report on it. */
async function conditionAfter(status: number, ...headers: string[]): Promise<UpstreamCondition> {
	return conditionAfterEnd(ok({status, headers: [...headers, 'load', 'idle'], body: new Uint8Array(0)}), 0);
}

describe('Attempt', () => {
	it('should learn the load of an upstream from its answer', async () => {
		const condition = await conditionAfter(200, 'signature', 's');
		assert.equal(condition.report, idle);
	});

	it('should leave alone an upstream at whose address is another one, and not take that one\'s load for its own', async () => {
		const condition = await conditionAfter(421);
		assert.equal(condition.isUnreachable, true);
		assert.equal(condition.report, undefined);
	});

	it('should blame an upstream for a refusal, though it reports free slots', async () => {
		const condition = await conditionAfter(503, 'not-run', '1');
		assert.ok(condition.failureRatio > 0);
		assert.equal(condition.isUnreachable, false);
	});

	describe('that is given up', () => {
		const cancelled = err({type: 'cancelled'} as const);

		it('should blame an upstream that is silent for long beyond what was expected', async () => {
			const condition = await conditionAfterEnd(cancelled, expectedMs * 10);
			assert.ok(condition.failureRatio > 0);
		});

		it('should blame no upstream that may yet answer in time', async () => {
			const condition = await conditionAfterEnd(cancelled, expectedMs);
			assert.equal(condition.failureRatio, 0);
		});
	});
});
