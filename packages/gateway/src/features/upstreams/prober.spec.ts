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

/** An upstream of which kept connections end in one way, and new ones in another. */
function upstreamThat(ends: {readonly kept: ExchangeFailure; readonly opened: ExchangeFailure}): Upstream {
	const connection = (failure: ExchangeFailure) => ({
		exchange: async (): Promise<Result<UpstreamAnswer, ExchangeFailure>> => err(failure),
	});
	return {
		registered: {
			id: 'u1', service: 'ledger', host: '10.0.0.1', port: 80, slots: 4,
		},
		condition: new UpstreamCondition(new ManualClock()),
		pool: {take: () => connection(ends.kept), open: () => connection(ends.opened), release: () => undefined},
	} as unknown as Upstream;
}

function newProber(): Prober {
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
	it('should find a crashed upstream whose kept connections are reset one by one', async () => {
		assert.equal(await newProber().refusesConnections(upstreamThat({kept: reset, opened: refused})), true);
	});

	it('should not take an upstream for crashed that takes a connection and resets it', async () => {
		assert.equal(await newProber().refusesConnections(upstreamThat({kept: refused, opened: reset})), false);
	});
});
