import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, type UpstreamId} from '@cairnbank/core';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import {UpstreamCondition} from '@cairnbank/core/placement';
import type {RequestDialect} from '../../ports/index.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import {answerOf} from './upstream-answer-fixture.js';
import {RateLimits, type RateLimitsOptions, type RateReport} from './rate-limits.js';
import type {Upstream} from './upstream.js';

const dialect = {
	rateLimitHeader: 'limit',
	parseRateLimit: (value: string) => Number.isNaN(Number(value)) ? undefined : Number(value),
} as unknown as RequestDialect;

function answer(limit?: string): UpstreamAnswer {
	return answerOf(200, limit === undefined ? [] : ['Limit', limit]);
}

/** Harness with one instance and one upstream, whose process started at 7. */
class RateHarness {
	readonly clock = new ManualClock();
	readonly shared: RateReport[] = [];
	readonly logged: unknown[] = [];
	readonly upstream: Upstream;
	readonly limits: RateLimits;

	constructor() {
		this.upstream = {registered: {id: 'u1', startedAtMs: 7, service: 'ledger'}, condition: new UpstreamCondition(this.clock)} as unknown as Upstream;
		this.limits = new RateLimits({
			context: {clock: this.clock, logger: {info: (event: string) => this.logged.push(event)}} as unknown as RateLimitsOptions['context'],
			dialect,
			upstreamOf: id => id === this.upstream.registered.id ? this.upstream : undefined,
			share: report => {
				this.shared.push(report);
			},
		});
		this.clock.advance(1000);
	}

	get requestsPerSecond(): number | undefined {
		return this.upstream.condition.advertisedRate.requestsPerSecond;
	}

	/** @param sentBeforeMs - time since the request was sent */
	answered(limit?: string, {isSuccess = true, sentBeforeMs = 0}: {isSuccess?: boolean; sentBeforeMs?: number} = {}): void {
		this.limits.answered(this.upstream, {answer: answer(limit), sentAtMs: this.clock.monotonicMs() - sentBeforeMs, isSuccess});
	}

	reported(limit: AdvertisedLimit, startedAtMs = 7): void {
		this.limits.receiveReport({upstream: 'u1' as UpstreamId, startedAtMs, advertisement: {limit, atMs: this.clock.monotonicMs()}});
	}
}

describe('RateLimits', () => {
	it('should keep a limit until a later complete answer advertises none', () => {
		const harness = new RateHarness();
		harness.answered('3.6');
		assert.equal(harness.requestsPerSecond, 3.6);
		harness.clock.advance(100);
		harness.answered(undefined, {isSuccess: false});
		harness.answered(undefined, {sentBeforeMs: 200});
		assert.equal(harness.requestsPerSecond, 3.6);
		harness.answered();
		assert.equal(harness.requestsPerSecond, undefined);
	});

	it('should keep the known limit if a new one cannot be parsed', () => {
		const harness = new RateHarness();
		harness.answered('3.6');
		harness.clock.advance(100);
		harness.answered('soon');
		assert.equal(harness.requestsPerSecond, 3.6);
	});

	it('should learn a limit from a health check, and ignore a health check without one', () => {
		const harness = new RateHarness();
		harness.limits.checked(harness.upstream, answer('2'));
		harness.clock.advance(100);
		harness.limits.checked(harness.upstream, answer());
		assert.equal(harness.requestsPerSecond, 2);
	});

	it('should share a change at once, log it once, and share the limit again only after some time', () => {
		const harness = new RateHarness();
		harness.answered('3.6');
		harness.answered('3.6');
		assert.equal(harness.shared.length, 1);
		assert.equal(harness.logged.length, 1);
		harness.clock.advance(2000);
		harness.answered('3.6');
		assert.equal(harness.shared.length, 2);
		assert.equal(harness.logged.length, 1);
	});

	describe('reports of other instances', () => {
		it('should count like an own answer, and not be shared again', () => {
			const harness = new RateHarness();
			harness.reported({type: 'limited', requestsPerSecond: 4});
			assert.equal(harness.requestsPerSecond, 4);
			harness.answered('4');
			assert.equal(harness.shared.length, 0);
			harness.clock.advance(1);
			harness.reported({type: 'none'});
			assert.equal(harness.requestsPerSecond, undefined);
		});

		it('should be ignored if they are about another process of the upstream', () => {
			const harness = new RateHarness();
			harness.reported({type: 'limited', requestsPerSecond: 4}, 8);
			assert.equal(harness.requestsPerSecond, undefined);
		});
	});
});
