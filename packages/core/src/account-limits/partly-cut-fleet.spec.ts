import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ClientAccountId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import {defaultAccountBound, maximumInWindow} from './account-bound.js';
import {ownerOrder} from './owner-order.js';
import {SimulatedLimiters} from './simulated-limiters.js';

/** The smaller fleet notices that instances are not heard directly; in the larger ones others report that they hear them. */
const fleetSizes = [9, 27, 60];
const rates = [20, 60, 300];
const seeds = [1, 2];
const zones = 3;
const cutMs = 5500;
const sliceMs = 500;
const flood = 4;
/** Part of its limit that an account below it asks for. */
const usualRatio = 0.6;

type Case = {readonly fleet: SimulatedLimiters; readonly size: number; readonly rate: number; readonly what: string};

function limitOf(requestsPerSecond: number) {
	return {requestsPerSecond, burst: requestsPerSecond / 3};
}

function anyOf(size: number) {
	return (random: RandomSource) => random.nextInteger(size);
}

/** Indexes of the instances in the order of the account. */
function orderOf(fleet: SimulatedLimiters): number[] {
	return ownerOrder('account' as ClientAccountId, fleet.instances.map(({host}) => host)).map(host => fleet.indexOf(host));
}

/**
 * Cuts the zone of the owner off from that of the first instance after it in another zone. The third zone reaches both, and instances of
 * the two others come in turn as they are, so that the next one that answers is mostly on the far side.
 */
function cutOwnersZone(fleet: SimulatedLimiters): void {
	const order = orderOf(fleet);
	const owners = order[0]! % zones;
	const next = order.find(index => index % zones !== owners)! % zones;
	fleet.cutLinks((left, right) => left % zones === owners && right % zones === next);
}

function assertBound({fleet, rate, what}: Case): void {
	const highest = fleet.busiestWindow();
	const allowed = maximumInWindow(limitOf(rate), defaultAccountBound);
	assert.ok(highest <= allowed, `${what}: ${highest} in a window, ${allowed} allowed`);
}

/** Runs a flood and asserts that half of the limit is used in each second. */
function runFlood({fleet, size, rate, what}: Case, durationMs: number): void {
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1000) {
		const before = fleet.served.granted;
		for (let slice = 0; slice < 1000; slice += sliceMs) {
			fleet.run(sliceMs, {requestsPerSecond: rate * flood, from: anyOf(size)});
		}

		const granted = fleet.served.granted - before;
		assert.ok(granted >= 0.5 * rate, `${what}: ${granted} granted ${elapsedMs} ms after a change`);
	}
}

function forAll(check: (each: Case) => void): void {
	for (const size of fleetSizes) {
		for (const rate of rates) {
			for (const seed of seeds) {
				check({
					fleet: new SimulatedLimiters(size, limitOf(rate), seed), size, rate, what: `${size} instances, ${rate} a second, seed ${seed}`,
				});
			}
		}
	}
}

describe('account limiter of a fleet in which two zones can\'t reach each other while a third one reaches both', () => {
	// Guards against two instances that decide on one account at a time, as each is reached by a part of the fleet.
	it('should stay within the bound and use half of the limit throughout', () => {
		forAll(each => {
			runFlood(each, 6000);
			cutOwnersZone(each.fleet);
			runFlood(each, cutMs);
			each.fleet.restoreLinks();
			runFlood(each, 6000);
			assertBound(each);
		});
	});

	it('should serve 0.95 of an account below its limit', () => {
		forAll(({fleet, size, rate, what}) => {
			const load = {requestsPerSecond: rate * usualRatio, from: anyOf(size)};
			fleet.run(6000, load);
			const before = {...fleet.served};
			cutOwnersZone(fleet);
			fleet.run(cutMs, load);
			const [granted, asked] = [fleet.served.granted - before.granted, fleet.served.asked - before.asked];
			assert.ok(granted >= (0.95 * asked) - 1, `${what}: ${granted} of ${asked}`);
		});
	});

	it('should do so too where the cut comes and goes', () => {
		forAll(each => {
			runFlood(each, 5000);
			for (let turn = 0; turn < 5; turn++) {
				cutOwnersZone(each.fleet);
				runFlood(each, 1000);
				each.fleet.restoreLinks();
				runFlood(each, 1000);
			}

			assertBound(each);
		});
	});

	for (const [title, rank] of [['the owner', 0], ['the instance after it', 1], ['another instance', 4]] as const) {
		for (const [change, apply] of [
			['starts again', (fleet, index) => {
				fleet.start(index);
			}],
			['ends', (fleet, index) => {
				fleet.kill(index);
			}],
		] as ReadonlyArray<readonly [string, (fleet: SimulatedLimiters, index: number) => void]>) {
			it(`should stay within the bound and serve on where ${title} ${change} in the cut`, () => {
				forAll(each => {
					const {fleet, size, rate, what} = each;
					const load = {requestsPerSecond: rate * flood, from: anyOf(size)};
					fleet.run(6000, load);
					const index = orderOf(fleet)[rank]!;
					cutOwnersZone(fleet);
					fleet.run(2000, load);
					const before = fleet.served.granted;
					apply(fleet, index);
					fleet.run(3500, load);
					assert.ok(fleet.served.granted - before >= 0.5 * rate * 3.5, `${what}: ${fleet.served.granted - before} granted`);
					fleet.restoreLinks();
					fleet.run(5000, load);
					assertBound(each);
				});
			});
		}
	}
});
