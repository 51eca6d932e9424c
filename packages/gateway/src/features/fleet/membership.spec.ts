import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {SimulatedFleet} from './simulated-fleet.js';

const settleMs = 3000;
const secondMs = 1000;

function settledFleet(size: number, lossShare = 0): SimulatedFleet {
	const fleet = new SimulatedFleet({size, lossShare});
	fleet.pass(settleMs);
	assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
	return fleet;
}

function receivedByAll(fleet: SimulatedFleet): number {
	let received = 0;
	for (const instance of fleet.instances) {
		received += instance.received;
	}

	return received;
}

function happen(fleet: SimulatedFleet, kind: string, index: number): void {
	const instance = fleet.instances[index]!;
	switch (kind) {
		case 'dies': {
			instance.isUp = false;
			break;
		}

		case 'starts anew': {
			fleet.restart(index);
			break;
		}

		case 'is cut off': {
			instance.isCut = true;
			break;
		}

		default: {
			instance.isCut = false;
		}
	}
}

describe('Membership', () => {
	for (const size of [3, 16, 24, 25, 26, 40, 132, 313]) {
		describe(`of ${size} instances`, () => {
			it('should know all that start at the same moment within 3 s', () => {
				settledFleet(size);
			});

			it('should leave out one that dies within 3 s, and know a new process in its place within 1 s', () => {
				const fleet = settledFleet(size);
				fleet.instances[1]!.isUp = false;
				fleet.pass(3 * secondMs);
				assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
				fleet.restart(1);
				fleet.pass(secondMs);
				assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
			});

			it('should tell all at once that one is not ready any more', () => {
				const fleet = settledFleet(size);
				fleet.instances[2]!.ready = false;
				fleet.instances[2]!.membership.announce();
				fleet.pass(20);
				assert.deepEqual(fleet.wrong(fleet.hostsUp.filter(host => host !== fleet.instances[2]!.host)).filter(host => host !== fleet.instances[2]!.host), []);
			});

			it('should leave out one that is cut off, and take it back within 2 s, also on its own side', () => {
				const fleet = settledFleet(size);
				fleet.instances[1]!.isCut = true;
				fleet.pass(4 * secondMs);
				assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
				fleet.instances[1]!.isCut = false;
				fleet.pass(2 * secondMs);
				assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
			});

			it('should leave out half of all that die at the same moment within 5 s', () => {
				const fleet = settledFleet(size);
				for (const instance of fleet.instances.filter((_, index) => index % 2 === 1)) {
					instance.isUp = false;
				}

				fleet.pass(5 * secondMs);
				assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
			});

			it('should name nearly all while one datagram in forty is lost', () => {
				const fleet = new SimulatedFleet({size, lossShare: 0.025});
				fleet.pass(6 * secondMs);
				let named = 0;
				const samples = 40;
				for (let sample = 0; sample < samples; sample++) {
					fleet.pass(100);
					for (const {offered} of fleet.instances) {
						named += offered.length;
					}
				}

				assert.ok(named > 0.995 * samples * size * (size - 1), `${named} of ${samples * size * (size - 1)}`);
			});
		});
	}

	it('should take back a third of 132 that were cut off for 12 s within 5 s, for less than two datagrams a member', () => {
		const fleet = settledFleet(132);
		const cut = fleet.instances.filter((_, index) => index % 3 === 0);
		for (const instance of cut) {
			instance.isCut = true;
		}

		fleet.pass(12 * secondMs);
		assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
		const before = receivedByAll(fleet);
		for (const instance of cut) {
			instance.isCut = false;
		}

		fleet.pass(5 * secondMs);
		assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
		const atRest = 5 * 15;
		assert.ok((receivedByAll(fleet) - before) / 132 < (2 * 132) + atRest);
	});

	it('should not go on doubting a member that one instance alone cannot reach', () => {
		const fleet = settledFleet(40);
		const [left, right] = [fleet.instances[3]!, fleet.instances[4]!];
		fleet.cutLinks.add(`${left.host} ${right.host}`);
		fleet.cutLinks.add(`${right.host} ${left.host}`);
		fleet.pass(10 * secondMs);
		const before = fleet.toldLost;
		fleet.pass(8 * secondMs);
		assert.equal(fleet.toldLost - before, 0);
		for (const {host, offered} of fleet.instances.filter(instance => instance !== left && instance !== right)) {
			assert.equal(offered.length, 39, host);
		}
	});

	it('should take an instance that hears nobody for cut off itself, and hold nobody for lost', () => {
		const fleet = settledFleet(40);
		const [cut] = fleet.instances;
		cut!.isCut = true;
		fleet.pass(10 * secondMs);
		assert.ok(cut!.offered.length >= 38, `${cut!.offered.length}`);
	});

	it('should agree with what is up within 8 s after any deaths, new processes, cuts and losses', () => {
		const event = fc.record({
			kind: fc.constantFrom('dies', 'starts anew', 'is cut off', 'is reached again'),
			place: fc.nat(),
			thenMs: fc.integer({min: 0, max: 3000}),
		});
		fc.assert(fc.property(fc.integer({min: 2, max: 40}), fc.integer(), fc.array(event, {maxLength: 12}), (size, seed, events) => {
			const fleet = new SimulatedFleet({size, seed, lossShare: 0.01});
			fleet.pass(settleMs);
			for (const {kind, place, thenMs} of events) {
				happen(fleet, kind, place % size);
				fleet.pass(thenMs);
			}

			fleet.lossShare = 0;
			fleet.pass(8 * secondMs);
			assert.deepEqual(fleet.wrong(fleet.hostsUp), []);
		}), {numRuns: 30, seed: 20_261_203});
	});

	it('should cost an instance as many datagrams at 132 instances as at 12', () => {
		const received = (size: number) => {
			const fleet = settledFleet(size);
			const member = fleet.instances.find(({isFollower}) => !isFollower)!;
			const before = member.received;
			fleet.pass(10 * secondMs);
			return (member.received - before) / 10;
		};

		// Heartbeats from each to all: 328 a second at 132 instances.
		assert.ok(received(132) < 30, `${received(132)}`);
	});
});
