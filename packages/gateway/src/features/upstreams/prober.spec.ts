import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {err, type Result} from 'neverthrow';
import {createMetrics} from '../../metrics/metrics.js';
import {plainDialect} from '../../ports/request-dialect-fixture.js';
import type {ExchangeFailure, UpstreamAnswer} from './exchange.js';
import {Prober, type ProberOptions} from './prober.js';
import type {Upstream} from './upstream.js';

const refused: ExchangeFailure = {type: 'not-connected', message: 'refused', isTimeout: false};
const reset: ExchangeFailure = {type: 'broken', message: 'reset'};

/** Creates an upstream whose pooled connections fail in one way and whose new connections fail in another. */
function createUpstream(ends: {readonly pooled: ExchangeFailure; readonly opened: ExchangeFailure}): Upstream {
	const connection = (failure: ExchangeFailure) => ({
		exchange: async (): Promise<Result<UpstreamAnswer, ExchangeFailure>> => err(failure),
	});
	return {
		registered: {
			id: 'u1', service: 'ledger', host: '10.0.0.1', port: 80, slots: 4,
		},
		condition: new UpstreamCondition(new ManualClock()),
		pool: {take: () => connection(ends.pooled), open: () => connection(ends.opened), release: () => undefined},
	} as unknown as Upstream;
}

function createProber(): Prober {
	return new Prober({
		context: {clock: new ManualClock(), metrics: createMetrics(), settings: {bounds: {probesPerSecond: 10}}},
		dialect: plainDialect,
		advisories: {received: () => undefined},
		eligibility: {mayCheck: () => true},
		rateLimits: {checked: () => undefined},
		healthPath: () => '/healthz',
		isInService: () => true,
		instances: () => 1,
		upstreams: () => 1,
	} as unknown as ProberOptions);
}

describe('Prober', () => {
	it('should detect a crashed upstream whose pooled connections are reset one by one', async () => {
		assert.equal(await createProber().refusesConnections(createUpstream({pooled: reset, opened: refused})), true);
	});

	it('should not consider an upstream crashed if it accepts a connection and resets it', async () => {
		assert.equal(await createProber().refusesConnections(createUpstream({pooled: refused, opened: reset})), false);
	});
});
