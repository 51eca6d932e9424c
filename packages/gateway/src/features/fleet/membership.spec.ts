import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {SimulatedFleet} from './simulated-fleet.js';

const settleMs = 3000;
const secondMs = 1000;

function settledFleet(size: number, lossShare = 0): SimulatedFleet {
	const fleet = new SimulatedFleet({size, lossShare});
	fleet.advance(settleMs);
	assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
	return fleet;
}

function receivedByAll(fleet: SimulatedFleet): number {
	let received = 0;
	for (const instance of fleet.instances) {
		received += instance.received;
	}

	return received;
}

function applyEvent(fleet: SimulatedFleet, kind: string, index: number): void {
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
			instance.isIsolated = true;
			break;
		}

		default: {
			instance.isIsolated = false;
		}
	}
}

describe('Membership', () => {
	for (const size of [3, 16, 24, 25, 26, 40, 132, 313]) {
		describe(`of ${size} instances`, () => {
			it('should know all instances that start at the same time within 3 s', () => {
				settledFleet(size);
			});

			it('should remove an instance that dies within 3 s, and know a new process in its place within 1 s', () => {
				const fleet = settledFleet(size);
				fleet.instances[1]!.isUp = false;
				fleet.advance(3 * secondMs);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
				fleet.restart(1);
				fleet.advance(secondMs);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
			});

			it('should report to all at once that an instance is no longer ready', () => {
				const fleet = settledFleet(size);
				fleet.instances[2]!.ready = false;
				fleet.instances[2]!.membership.announce();
				fleet.advance(20);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp.filter(host => host !== fleet.instances[2]!.host)).filter(host => host !== fleet.instances[2]!.host), []);
			});

			it('should remove an isolated instance, and within 2 s after its return know it again and be known to it', () => {
				const fleet = settledFleet(size);
				fleet.instances[1]!.isIsolated = true;
				fleet.advance(4 * secondMs);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
				fleet.instances[1]!.isIsolated = false;
				fleet.advance(2 * secondMs);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
			});

			it('should remove half of all instances within 5 s when they die at the same time', () => {
				const fleet = settledFleet(size);
				for (const instance of fleet.instances.filter((_, index) => index % 2 === 1)) {
					instance.isUp = false;
				}

				fleet.advance(5 * secondMs);
				assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
			});

			it('should offer nearly all instances while one datagram in forty is lost', () => {
				const fleet = new SimulatedFleet({size, lossShare: 0.025});
				fleet.advance(6 * secondMs);
				let offeredCount = 0;
				const samples = 40;
				for (let sample = 0; sample < samples; sample++) {
					fleet.advance(100);
					for (const {offered} of fleet.instances) {
						offeredCount += offered.length;
					}
				}

				assert.ok(offeredCount > 0.995 * samples * size * (size - 1), `${offeredCount} of ${samples * size * (size - 1)}`);
			});
		});
	}

	it('should know a third of 132 instances again within 5 s after 12 s of isolation, with less than two datagrams per member', () => {
		const fleet = settledFleet(132);
		const isolated = fleet.instances.filter((_, index) => index % 3 === 0);
		for (const instance of isolated) {
			instance.isIsolated = true;
		}

		fleet.advance(12 * secondMs);
		assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
		const before = receivedByAll(fleet);
		for (const instance of isolated) {
			instance.isIsolated = false;
		}

		fleet.advance(5 * secondMs);
		assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
		const atRest = 5 * 15;
		assert.ok((receivedByAll(fleet) - before) / 132 < (2 * 132) + atRest);
	});

	it('should not keep declaring a member lost that only one instance cannot reach', () => {
		const fleet = settledFleet(40);
		const [left, right] = [fleet.instances[3]!, fleet.instances[4]!];
		fleet.cutLinks.add(`${left.host} ${right.host}`);
		fleet.cutLinks.add(`${right.host} ${left.host}`);
		fleet.advance(10 * secondMs);
		const before = fleet.lossReports;
		fleet.advance(8 * secondMs);
		assert.equal(fleet.lossReports - before, 0);
		for (const {host, offered} of fleet.instances.filter(instance => instance !== left && instance !== right)) {
			assert.equal(offered.length, 39, host);
		}
	});

	it('should declare no member lost on an instance that receives no messages, as it is itself cut off', () => {
		const fleet = settledFleet(40);
		const [isolated] = fleet.instances;
		isolated!.isIsolated = true;
		fleet.advance(10 * secondMs);
		assert.ok(isolated!.offered.length >= 38, `${isolated!.offered.length}`);
	});

	it('should know exactly the running instances within 8 s after any crashes, restarts, isolations and lost datagrams', () => {
		const event = fc.record({
			kind: fc.constantFrom('dies', 'starts anew', 'is cut off', 'is reached again'),
			place: fc.nat(),
			thenMs: fc.integer({min: 0, max: 3000}),
		});
		fc.assert(fc.property(fc.integer({min: 2, max: 40}), fc.integer(), fc.array(event, {maxLength: 12}), (size, seed, events) => {
			const fleet = new SimulatedFleet({size, seed, lossShare: 0.01});
			fleet.advance(settleMs);
			for (const {kind, place, thenMs} of events) {
				applyEvent(fleet, kind, place % size);
				fleet.advance(thenMs);
			}

			fleet.lossShare = 0;
			fleet.advance(8 * secondMs);
			assert.deepEqual(fleet.hostsWithWrongView(fleet.hostsUp), []);
		}), {numRuns: 30, seed: 20_261_203});
	});

	it('should send an instance of a fleet of 132 no more datagrams than one of a fleet of 12', () => {
		const received = (size: number) => {
			const fleet = settledFleet(size);
			const member = fleet.instances.find(({isFollower}) => !isFollower)!;
			const before = member.received;
			fleet.advance(10 * secondMs);
			return (member.received - before) / 10;
		};

		// With heartbeats from each instance to all others it would be 328 per second at 132 instances.
		assert.ok(received(132) < 30, `${received(132)}`);
	});
});
