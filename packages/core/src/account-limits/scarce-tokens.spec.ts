import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {ClientAccountId} from '../model/ids.js';
import {ScarceTokens, type TimedRequest} from './scarce-tokens.js';

const shop = 'shop' as ClientAccountId;
const times = {targetLatencyMs: 600, workMs: 250} as const;

describe('ScarceTokens', () => {
	let clock: ManualClock;
	let tokens: ScarceTokens;

	beforeEach(() => {
		clock = new ManualClock();
		clock.advance(10_000);
		tokens = new ScarceTokens(clock);
	});

	function askedAgo(waitedMs: number): TimedRequest {
		const askedAtMs = clock.monotonicMs() - waitedMs;
		return {...times, askedAtMs, deadlineAtMs: askedAtMs + 6000};
	}

	it('should let all requests ask while there are tokens', () => {
		assert.equal(tokens.mustYield(shop, askedAgo(2000)), false);
	});

	it('should make requests that can not be in time yield to those that can', () => {
		tokens.recordRefusal(shop);
		assert.equal(tokens.mustYield(shop, askedAgo(0)), false);
		assert.equal(tokens.mustYield(shop, askedAgo(300)), false);
		assert.equal(tokens.mustYield(shop, askedAgo(400)), true);
	});

	it('should let a request ask at its last chance', () => {
		tokens.recordRefusal(shop);
		assert.equal(tokens.mustYield(shop, askedAgo(4000)), false);
	});

	it('should let late requests ask again once none was refused for a while', () => {
		tokens.recordRefusal(shop);
		clock.advance(1000);
		assert.equal(tokens.mustYield(shop, askedAgo(2000)), false);
	});

	it('should not make accounts yield for each other', () => {
		tokens.recordRefusal(shop);
		assert.equal(tokens.mustYield('school' as ClientAccountId, askedAgo(2000)), false);
	});
});

describe('a rush of one account', () => {
	const tokensPerSecond = 90;
	const askedPerSecond = 150;

	/** Plays callers that return twice after a third of the time that they have left; returns the share answered in time. */
	function play(yields: boolean): {inTime: number; served: number} {
		const clock = new ManualClock();
		const scarce = new ScarceTokens(clock);
		const queue: Array<{atMs: number; askedAtMs: number; tries: number}> = Array.from({length: askedPerSecond * 6}, (_, index) => {
			const atMs = index * 1000 / askedPerSecond;
			return {atMs, askedAtMs: atMs, tries: 0};
		});
		const asked = queue.length;
		let level = 0;
		let filledAtMs = 0;
		let inTime = 0;
		let served = 0;
		while (queue.length > 0) {
			queue.sort((left, right) => left.atMs - right.atMs);
			const request = queue.shift()!;
			clock.advance(request.atMs - clock.monotonicMs());
			level = Math.min(level + ((request.atMs - filledAtMs) * tokensPerSecond / 1000), tokensPerSecond / 2);
			filledAtMs = request.atMs;
			const deadlineAtMs = request.askedAtMs + 6000;
			const hasToYield = yields && scarce.mustYield(shop, {...times, askedAtMs: request.askedAtMs, deadlineAtMs});
			if (!hasToYield && level >= 1) {
				level -= 1;
				served += 1;
				inTime += request.atMs + times.workMs <= request.askedAtMs + times.targetLatencyMs ? 1 : 0;
				continue;
			}

			if (!hasToYield) {
				scarce.recordRefusal(shop);
			}

			if (request.tries < 2) {
				queue.push({...request, atMs: request.atMs + ((deadlineAtMs - request.atMs) / 3), tries: request.tries + 1});
			}
		}

		return {inTime: inTime / asked, served: served / asked};
	}

	it('should answer in time nearly all that there are tokens for, and the others once it is over', () => {
		const withYielding = play(true);
		const without = play(false);
		const possible = tokensPerSecond / askedPerSecond;
		assert.ok(withYielding.inTime >= possible * 0.9, `${withYielding.inTime}`);
		assert.ok(withYielding.inTime > without.inTime, `${withYielding.inTime} ${without.inTime}`);
		assert.ok(withYielding.served >= without.served * 0.9, `${withYielding.served} ${without.served}`);
	});
});
