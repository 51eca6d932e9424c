import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition, type LoadReport} from '@cairnbank/core/placement';
import {ok} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import type {RequestDialect} from '../../ports/index.js';
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

/** Sends one attempt to an upstream that gives this answer, with a load report on it. */
async function conditionAfter(status: number, ...headers: string[]): Promise<UpstreamCondition> {
	const clock = new ManualClock();
	const condition = new UpstreamCondition(clock);
	const answer = {status, headers: [...headers, 'load', 'idle'], body: new Uint8Array(0)};
	const connection = {exchange: async () => ok(answer), cancel: () => undefined};
	const placement = {
		upstream: {registered: {id: 'u1', slots: 4}, condition, pool: {take: () => connection, release: () => undefined}},
		workMs: 10,
		expectedMs: 10,
		slowness: 1,
		isAtEase: true,
	} as unknown as Placement;
	const dependencies = {
		clock, dialect, metrics: createMetrics(), work: {learn: () => undefined},
	} as unknown as CallDependencies;
	const call = {
		method: 'GET', target: '/', headers: [], route: {id: 'r'},
	} as unknown as Call;
	await new Attempt(dependencies, call, 'first', placement).run(100);
	return condition;
}

describe('Attempt', () => {
	it('should learn the load of an upstream from its answer', async () => {
		const condition = await conditionAfter(200, 'signature', 's');
		assert.equal(condition.report, idle);
	});

	it('should leave alone an upstream at whose address is another one, and not take that one\'s load for its own', async () => {
		const condition = await conditionAfter(421);
		assert.equal(condition.isAvoided, true);
		assert.equal(condition.report, undefined);
	});

	it('should blame an upstream for a refusal, though it reports free slots', async () => {
		const condition = await conditionAfter(503, 'not-run', '1');
		assert.ok(condition.failureRatio > 0);
		assert.equal(condition.isAvoided, false);
	});
});
