import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, type UpstreamId} from '@cairnbank/core';
import type {AdvertisedLimit} from '@cairnbank/core/limits';
import {UpstreamCondition} from '@cairnbank/core/placement';
import type {RequestDialect} from '../../ports/index.js';
import type {UpstreamAnswer} from './exchange.js';
import {RateLimits, type RateLimitsOptions, type RateReport} from './rate-limits.js';
import type {Upstream} from './upstream.js';

const dialect = {
	rateLimitHeader: 'limit',
	parseRateLimit: (value: string) => Number.isNaN(Number(value)) ? undefined : Number(value),
} as unknown as RequestDialect;

function answer(limit?: string): UpstreamAnswer {
	return {status: 200, headers: limit === undefined ? [] : ['Limit', limit], body: new Uint8Array(0)};
}

/** One instance and one upstream that has started at 7. */
class RateWorld {
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

	/** @param sentBeforeMs - how long ago the request was sent */
	answered(limit?: string, {isSuccess = true, sentBeforeMs = 0}: {isSuccess?: boolean; sentBeforeMs?: number} = {}): void {
		this.limits.answered(this.upstream, {answer: answer(limit), sentAtMs: this.clock.monotonicMs() - sentBeforeMs, isSuccess});
	}

	reported(limit: AdvertisedLimit, startedAtMs = 7): void {
		this.limits.reported({upstream: 'u1' as UpstreamId, startedAtMs, statement: {limit, atMs: this.clock.monotonicMs()}});
	}
}

describe('RateLimits', () => {
	it('should hold a limit of an answer until a later whole answer has none', () => {
		const world = new RateWorld();
		world.answered('3.6');
		assert.equal(world.requestsPerSecond, 3.6);
		world.clock.advance(100);
		world.answered(undefined, {isSuccess: false});
		world.answered(undefined, {sentBeforeMs: 200});
		assert.equal(world.requestsPerSecond, 3.6);
		world.answered();
		assert.equal(world.requestsPerSecond, undefined);
	});

	it('should keep what is known where a limit cannot be read', () => {
		const world = new RateWorld();
		world.answered('3.6');
		world.clock.advance(100);
		world.answered('soon');
		assert.equal(world.requestsPerSecond, 3.6);
	});

	it('should take a limit of a health answer, and nothing from one without', () => {
		const world = new RateWorld();
		world.limits.checked(world.upstream, answer('2'));
		world.clock.advance(100);
		world.limits.checked(world.upstream, answer());
		assert.equal(world.requestsPerSecond, 2);
	});

	it('should share a change at once, log it once, and share the limit again only after some time', () => {
		const world = new RateWorld();
		world.answered('3.6');
		world.answered('3.6');
		assert.equal(world.shared.length, 1);
		assert.equal(world.logged.length, 1);
		world.clock.advance(2000);
		world.answered('3.6');
		assert.equal(world.shared.length, 2);
		assert.equal(world.logged.length, 1);
	});

	describe('reports of other instances', () => {
		it('should count as an own answer does, and not be shared again', () => {
			const world = new RateWorld();
			world.reported({type: 'limited', requestsPerSecond: 4});
			assert.equal(world.requestsPerSecond, 4);
			world.answered('4');
			assert.equal(world.shared.length, 0);
			world.clock.advance(1);
			world.reported({type: 'none'});
			assert.equal(world.requestsPerSecond, undefined);
		});

		it('should say nothing of another start of the upstream', () => {
			const world = new RateWorld();
			world.reported({type: 'limited', requestsPerSecond: 4}, 8);
			assert.equal(world.requestsPerSecond, undefined);
		});
	});
});
