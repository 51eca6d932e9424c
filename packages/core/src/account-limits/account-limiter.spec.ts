import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ClientAccountId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import {defaultAccountBound, maximumInWindow} from './account-bound.js';
import {ownerOrder} from './owner-order.js';
import {SimulatedLimiters} from './simulated-limiters.js';

const fleetSizes = [6, 13, 110, 300];
const rates = [3, 50, 300];
const seeds = [1, 2, 3];
/** Times its rate that a flooded account asks for. */
const flood = 4;

function limitOf(requestsPerSecond: number) {
	return {requestsPerSecond, burst: requestsPerSecond};
}

function anyOf(size: number) {
	return (random: RandomSource) => random.nextInteger(size);
}

/** Returns the index of the instance that decides on the account, and those that come after it. */
function orderOf(fleet: SimulatedLimiters): number[] {
	return ownerOrder('account' as ClientAccountId, fleet.instances.map(({host}) => host)).map(host => fleet.indexOf(host));
}

function assertBound(fleet: SimulatedLimiters, requestsPerSecond: number, what: string): void {
	const highest = fleet.busiestWindow();
	const allowed = maximumInWindow(limitOf(requestsPerSecond), defaultAccountBound);
	assert.ok(highest <= allowed, `${what}: ${highest} in a window, ${allowed} allowed`);
}

/** Runs a case for each size of the fleet, rate of the account and seed. */
function forAll(check: (fleet: SimulatedLimiters, size: number, rate: number, what: string) => void, sizes = fleetSizes): void {
	for (const size of sizes) {
		for (const rate of rates) {
			for (const seed of seeds) {
				check(new SimulatedLimiters(size, limitOf(rate), seed), size, rate, `${size} instances, ${rate} a second, seed ${seed}`);
			}
		}
	}
}

describe('account limiter', () => {
	describe('of a whole fleet', () => {
		it('should use nine tenths of a limit and no more than its bound where all instances are asked for more', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(12_000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.9 * rate * 12, `${what}: ${fleet.served.granted} granted`);
			});
		});

		it('should use as much where one instance is asked for more', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(12_000, {requestsPerSecond: rate * flood, from: () => size - 1});
				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.9 * rate * 12, `${what}: ${fleet.served.granted} granted`);
			});
		});

		it('should refuse hardly anything of an account below its limit', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(40_000, {requestsPerSecond: rate * 0.62, from: anyOf(size)});
				assert.ok(fleet.served.granted >= (0.99 * fleet.served.asked) - 1, `${what}: ${fleet.served.granted} of ${fleet.served.asked}`);
			});
		});

		it('should stay within the bound when a pause is followed by a flood', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(6000, {requestsPerSecond: rate * 0.1, from: anyOf(size)});
				fleet.run(6000, {requestsPerSecond: rate * 7, from: anyOf(size)});
				assertBound(fleet, rate, what);
			});
		});
	});

	describe('with lost messages', () => {
		it('should stay within the bound and use nine tenths of the limit', () => {
			forAll((fleet, size, rate, what) => {
				fleet.lossRatio = 0.05;
				fleet.run(12_000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.9 * rate * 12, `${what}: ${fleet.served.granted} granted`);
			});
		});
	});

	describe('when its owner ends', () => {
		it('should stay within the bound and go on at the next instance', () => {
			forAll((fleet, size, rate, what) => {
				const [owner] = orderOf(fleet);
				fleet.run(6000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				fleet.kill(owner!);
				fleet.run(6000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.8 * rate * 12, `${what}: ${fleet.served.granted} granted`);
			});
		});

		it('should serve nearly all of an account below its limit', () => {
			forAll((fleet, size, rate, what) => {
				const [owner] = orderOf(fleet);
				fleet.run(10_000, {requestsPerSecond: rate * 0.62, from: anyOf(size)});
				fleet.kill(owner!);
				fleet.run(10_000, {requestsPerSecond: rate * 0.62, from: anyOf(size)});
				assert.ok(fleet.served.granted >= (0.97 * fleet.served.asked) - 1, `${what}: ${fleet.served.granted} of ${fleet.served.asked}`);
			});
		});
	});

	describe('when its owner changes under a flood that begins with a saved burst', () => {
		for (const [title, change] of [
			['ends', (fleet, owner) => {
				fleet.kill(owner);
			}],
			['leaves', (fleet, owner) => {
				fleet.leave(owner);
			}],
			['leaves and ends at once', (fleet, owner) => {
				fleet.leave(owner);
				fleet.run(100, {requestsPerSecond: 0, from: () => 0});
				fleet.kill(owner, 100);
			}],
			['starts again', (fleet, owner) => {
				fleet.start(owner);
			}],
		] as ReadonlyArray<readonly [string, (fleet: SimulatedLimiters, owner: number) => void]>) {
			it(`should stay within the bound if it ${title} within the window`, () => {
				for (const size of [6, 110]) {
					for (const rate of [1, 3, 50, 333]) {
						for (const changedMs of [3000, 3500, 4000, 4500, 5000]) {
							const what = `${size} instances, ${rate} a second, ${title} after ${changedMs} ms`;
							const fleet = new SimulatedLimiters(size, limitOf(rate), 1);
							fleet.run(9000, {requestsPerSecond: Math.min(rate * 0.1, 1), from: anyOf(size)});
							const [owner] = orderOf(fleet);
							fleet.run(changedMs, {requestsPerSecond: rate * flood, from: anyOf(size)});
							change(fleet, owner!);
							fleet.run(7000, {requestsPerSecond: rate * flood, from: anyOf(size)});
							assertBound(fleet, rate, what);
							assert.ok(fleet.served.granted >= 0.9 * rate * (changedMs + 7000) / 1000, `${what}: ${fleet.served.granted} granted`);
						}
					}
				}
			});
		}
	});

	describe('when its owner stands still', () => {
		for (const pauseMs of [300, 1000, 3000]) {
			it(`should stay within the bound before and after a pause of ${pauseMs} ms`, () => {
				forAll((fleet, size, rate, what) => {
					const [owner] = orderOf(fleet);
					fleet.run(3000, {requestsPerSecond: rate * 0.1, from: anyOf(size)});
					fleet.run(2000, {requestsPerSecond: rate * flood, from: anyOf(size)});
					fleet.pause(owner!, pauseMs);
					fleet.run(pauseMs + 6000, {requestsPerSecond: rate * flood, from: anyOf(size)});
					assertBound(fleet, rate, what);
				});
			});
		}
	});

	describe('when its use is not known', () => {
		it('should not say that an account below its limit is over it, whichever instances end and stand still', () => {
			for (const seed of [1, 2, 3, 4, 5, 6]) {
				const fleet = new SimulatedLimiters(3, limitOf(20), seed);
				const load = {requestsPerSecond: 8, from: anyOf(3)};
				for (const [first, second] of [[0, 1], [1, 2], [2, 0], [0, 2], [2, 1], [1, 0]] as const) {
					fleet.run(1000, load);
					fleet.kill(first);
					fleet.run(700, load);
					fleet.start(first);
					fleet.pause(second, 1500);
					fleet.run(1800, load);
				}

				assert.equal(fleet.served.limited, 0, `seed ${seed}: ${fleet.served.limited} of ${fleet.served.asked}, ${fleet.served.unknown} unknown`);
			}
		});

		it('should say so where an account asks for more than its limit', () => {
			const fleet = new SimulatedLimiters(3, limitOf(20), 1);
			fleet.run(8000, {requestsPerSecond: 80, from: anyOf(3)});
			assert.ok(fleet.served.limited > fleet.served.unknown * 5, `${fleet.served.limited} over the limit, ${fleet.served.unknown} unknown`);
		});
	});

	describe('when instances restart', () => {
		it('should stay within the bound where the first six in the order do so in turn', () => {
			forAll((fleet, size, rate, what) => {
				const order = orderOf(fleet);
				fleet.run(4000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				for (const index of order.slice(0, 6)) {
					fleet.kill(index);
					fleet.run(500, {requestsPerSecond: rate * flood, from: anyOf(size)});
					fleet.start(index);
					fleet.run(1500, {requestsPerSecond: rate * flood, from: anyOf(size)});
				}

				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.7 * rate * 16, `${what}: ${fleet.served.granted} granted`);
			});
		});

		it('should stay within the bound where all do so at once', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(6000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				for (let index = 0; index < size; index++) {
					fleet.start(index, 200);
				}

				fleet.run(6000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate, what);
				assert.ok(fleet.served.granted >= 0.8 * rate * 12, `${what}: ${fleet.served.granted} granted`);
			});
		});

		it('should stay within the bound while a fleet of 20 grows to 60 within a window', () => {
			forAll((fleet, size, rate, what) => {
				for (let index = 20; index < size; index++) {
					fleet.kill(index, 1);
				}

				fleet.run(4000, {requestsPerSecond: rate * flood, from: anyOf(20)});
				for (let index = 20; index < size; index++) {
					fleet.start(index);
					fleet.run(100, {requestsPerSecond: rate * flood, from: anyOf(20)});
				}

				fleet.run(5000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate, what);
			}, [60]);
		});
	});

	describe('of a fleet that is divided', () => {
		for (const [title, groupOf] of [
			['halves', rank => rank % 2],
			['three parts', rank => rank % 3],
			['the owner alone and the rest', rank => rank === 0 ? 1 : 0],
			['another instance alone and the rest', rank => rank === 5 ? 1 : 0],
			['single instances', rank => rank],
		] as ReadonlyArray<readonly [string, (rank: number) => number]>) {
			it(`should stay within the bound with ${title}, also when the parts join again`, () => {
				forAll((fleet, size, rate, what) => {
					fleet.run(4000, {requestsPerSecond: rate * flood, from: anyOf(size)});
					const order = orderOf(fleet);
					fleet.divide(index => groupOf(order.indexOf(index)));
					fleet.run(10_000, {requestsPerSecond: rate * flood, from: anyOf(size)});
					fleet.divide(() => 0, 1000);
					fleet.run(5000, {requestsPerSecond: rate * flood, from: anyOf(size)});
					assertBound(fleet, rate, `${what}, ${title}`);
				});
			});
		}
	});

	describe('with a limit that is lowered', () => {
		it('should stay within the lower bound from then on', () => {
			forAll((fleet, size, rate, what) => {
				fleet.run(4000, {requestsPerSecond: rate * 0.5, from: anyOf(size)});
				fleet.limit = limitOf(rate / 3);
				fleet.served.grantedAtMs.length = 0;
				fleet.run(8000, {requestsPerSecond: rate * flood, from: anyOf(size)});
				assertBound(fleet, rate / 3, what);
			});
		});
	});
});
