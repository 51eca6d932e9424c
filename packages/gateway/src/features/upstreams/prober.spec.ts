import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {PathState} from '@cairnbank/core/reachability';
import {err, ok, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import type {ExchangeFailure} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import {answerOf} from './upstream-answer-fixture.js';
import {Prober, type ProberOptions} from './prober.js';
import type {Upstream} from './upstream.js';

const refused: ExchangeFailure = {type: 'not-connected', message: 'refused', isTimeout: false};
const reset: ExchangeFailure = {type: 'broken', message: 'reset'};
const noAnswerInTime: ExchangeFailure = {type: 'not-connected', message: 'no answer in time', isTimeout: true};

function healthAnswerOf(id: string): UpstreamAnswer {
	return answerOf(200, [plainDialect.upstreamIdHeader, id]);
}

/** Creates an upstream whose pooled connections fail in one way and whose new connections end in another. */
function createUpstream(ends: {readonly pooled: ExchangeFailure; readonly opened: ExchangeFailure | UpstreamAnswer}): Upstream {
	const connection = (end: ExchangeFailure | UpstreamAnswer) => ({
		exchange: async (): Promise<Result<UpstreamAnswer, ExchangeFailure>> => 'status' in end ? ok(end) : err(end),
	});
	return {
		registered: {
			id: 'u1', service: 'ledger', host: '10.0.0.1', port: 80, slots: 4,
		},
		condition: new UpstreamCondition(new ManualClock()),
		pool: {
			path: new PathState(new ManualClock()), take: () => connection(ends.pooled), open: () => connection(ends.opened), release: () => undefined,
		},
	} as unknown as Upstream;
}

/** @param others - other upstreams of this instance */
function createProber(others: readonly Upstream[] = []): Prober {
	return new Prober({
		context: {clock: new ManualClock(), metrics: createMetrics(), settings: {bounds: {probesPerSecond: 10}}},
		dialect: plainDialect,
		advisories: {received: () => undefined},
		eligibility: {mayCheck: () => true},
		rateLimits: {checked: () => undefined},
		sampleOthers: () => others,
		healthPath: () => '/healthz',
		isInService: () => true,
		instances: () => 1,
		upstreams: () => 1,
	} as unknown as ProberOptions);
}

describe('Prober', () => {
	it('should detect a crashed upstream whose pooled connections are reset one by one', async () => {
		assert.equal(await createProber().hasEnded(createUpstream({pooled: reset, opened: refused})), true);
	});

	it('should detect a crashed upstream whose address another upstream has taken', async () => {
		assert.equal(await createProber().hasEnded(createUpstream({pooled: reset, opened: healthAnswerOf('u2')})), true);
	});

	it('should not consider an upstream crashed that answers itself', async () => {
		assert.equal(await createProber().hasEnded(createUpstream({pooled: reset, opened: healthAnswerOf('u1')})), false);
	});

	it('should not consider an upstream crashed that refuses connections while all others do', async () => {
		const others = [createUpstream({pooled: reset, opened: refused}), createUpstream({pooled: reset, opened: refused})];
		assert.equal(await createProber(others).hasEnded(createUpstream({pooled: reset, opened: refused})), false);
	});

	it('should detect a crashed upstream while any other can be reached', async () => {
		const others = [createUpstream({pooled: reset, opened: refused}), createUpstream({pooled: reset, opened: healthAnswerOf('u1')})];
		assert.equal(await createProber(others).hasEnded(createUpstream({pooled: reset, opened: refused})), true);
	});

	it('should not consider an upstream crashed to which no connection is established in time', async () => {
		assert.equal(await createProber().hasEnded(createUpstream({pooled: reset, opened: noAnswerInTime})), false);
	});

	it('should not consider an upstream crashed if it accepts a connection and resets it', async () => {
		assert.equal(await createProber().hasEnded(createUpstream({pooled: refused, opened: reset})), false);
	});
});
