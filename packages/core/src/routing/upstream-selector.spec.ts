import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Choice} from './choice.js';
import {
	countChoices, completeAttempt, noneExcluded, createSelector, createService, upstreamId,
} from './selector-fixture.js';

const everyUpstream = [0, 1, 2, 3].map(index => upstreamId(index));

describe('upstream selector', () => {
	for (const type of ['least-expected-latency', 'home-least-latency'] as const) {
		describe(`observations under ${type}`, () => {
			it('should avoid an upstream that other instances fill, while its report is recent', () => {
				const selector = createSelector({policy: {type, halfLifeMs: 20}});
				for (const index of [0, 1, 2, 3]) {
					completeAttempt(selector, upstreamId(index), {inFlight: index === 2 ? 9 : 1});
				}

				assert.equal(countChoices(selector, 1).has(upstreamId(2)), false);
				assert.equal(countChoices(selector, 10_000).has(upstreamId(2)), true);
			});

			it('should not prefer an upstream for failing fast', () => {
				const selector = createSelector({policy: {type}});
				for (const index of [0, 1, 2, 3, 2, 2]) {
					const isFaulty = index === 2;
					completeAttempt(selector, upstreamId(index), {latencyMs: isFaulty ? 0.1 : 10, signal: isFaulty ? 'shed' : 'success', inFlight: isFaulty ? 0 : 2});
				}

				assert.equal(countChoices(selector, 1000).has(upstreamId(2)), false);
			});

			it('should not rely on a report of no load from an upstream whose answers are slow', () => {
				const selector = createSelector({policy: {type}});
				for (const index of [0, 1, 2, 3, 2, 2]) {
					completeAttempt(selector, upstreamId(index), {latencyMs: index === 2 ? 200 : 10, inFlight: index === 2 ? 0 : 2});
				}

				assert.equal(countChoices(selector, 1).has(upstreamId(2)), false);
			});
		});
	}

	describe('stragglers under home-least-latency', () => {
		const policy = {type: 'home-least-latency'};

		it('should avoid an upstream with a long-running request before it answers', () => {
			const selector = createSelector({policy});
			for (const index of [0, 1, 2, 3]) {
				completeAttempt(selector, upstreamId(index), {inFlight: 1});
			}

			for (const index of [0, 1, 3]) {
				selector.onSent(upstreamId(index), 95);
			}

			selector.onSent(upstreamId(2), 0);
			assert.equal(countChoices(selector, 100).has(upstreamId(2)), false);
		});

		it('should try a former straggler again with less important classes first', () => {
			const selector = createSelector({policy});
			for (const index of [0, 1, 2, 3, 2, 2, 2]) {
				completeAttempt(selector, upstreamId(index), {latencyMs: index === 2 ? 200 : 10, inFlight: 1});
			}

			for (const index of [0, 1, 3]) {
				selector.onSent(upstreamId(index), 29_999);
			}

			const draws = (priority: number) => Array.from({length: 50}, () => selector.choose({priority, excluded: noneExcluded, nowMs: 30_000}));
			const isRetrial = (choice: Choice) => choice.type === 'chosen' && choice.upstream === upstreamId(2);
			assert.equal(draws(5).some(choice => isRetrial(choice)), true);
			assert.equal(draws(0).some(choice => isRetrial(choice)), false);
		});
	});

	describe('ejection', () => {
		it('should eject an upstream after consecutive failures and try it again later', () => {
			const selector = createSelector({policy: {type: 'random'}});
			for (let failure = 0; failure < 3; failure++) {
				completeAttempt(selector, upstreamId(1), {signal: 'failure'});
			}

			assert.equal(countChoices(selector, 1).has(upstreamId(1)), false);
			assert.equal(countChoices(selector, 7000).has(upstreamId(1)), true);
		});

		it('should keep at least the configured share of upstreams', () => {
			const selector = createSelector({policy: {type: 'random'}});
			for (let failure = 0; failure < 12; failure++) {
				completeAttempt(selector, upstreamId(failure % 4), {signal: 'failure'});
			}

			assert.equal(countChoices(selector, 1).size, 2);
		});
	});

	describe('configuration', () => {
		it('should keep requests in flight across a configuration change and start new upstreams slowly', () => {
			const before = createSelector({policy: {type: 'random'}});
			before.onSent(upstreamId(0), 0);
			const after = createSelector({policy: {type: 'random'}}, {service: createService(5), previous: before, nowMs: 1000});
			assert.equal(after.stateOf(upstreamId(0))?.inFlight, 1);
			const early = countChoices(after, 1001, 2000).get(upstreamId(4)) ?? 0;
			const late = countChoices(after, 9000, 2000).get(upstreamId(4)) ?? 0;
			assert.ok(early * 4 < late, `${early} early, ${late} late`);
		});

		it('should prefer its own availability zone until that has no free slot', () => {
			const selector = createSelector({policy: {type: 'random'}, preferOwnAvailabilityZone: true});
			assert.deepEqual(new Set(countChoices(selector, 1).keys()), new Set([upstreamId(0), upstreamId(2)]));
			for (const index of [0, 2]) {
				completeAttempt(selector, upstreamId(index), {nowMs: 1, inFlight: 3});
			}

			assert.deepEqual(new Set(countChoices(selector, 1).keys()), new Set(everyUpstream));
		});

		it('should report whether a request can wait for an upstream', () => {
			const selector = createSelector({policy: {type: 'random'}}, {service: createService(1)});
			for (let sent = 0; sent < 6; sent++) {
				selector.onSent(upstreamId(0), 0);
			}

			assert.deepEqual(selector.choose({priority: 5, excluded: noneExcluded, nowMs: 0}), {type: 'none', reason: 'at-limit'});
			selector.setDraining(upstreamId(0), true, 0);
			assert.deepEqual(selector.choose({priority: 5, excluded: noneExcluded, nowMs: 0}), {type: 'none', reason: 'no-upstream'});
		});
	});
});
