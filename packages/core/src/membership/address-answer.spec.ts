import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {availabilityZoneIdSchema} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import {createAddressAnswer} from './address-answer.js';
import {memberEntrySchema, memberStates} from './member-entry.js';

const seed = 20_261_202;
const nasr = availabilityZoneIdSchema.parse('nasr');

function member(index: number, availabilityZone: string, callsPerSecond = 0, state = 'live') {
	return memberEntrySchema.parse({
		instance: `entry-${index}`,
		incarnation: `i${index}`,
		heartbeat: 0,
		state,
		callerAddress: `10.0.0.${index}:80`,
		peerAddress: `10.0.0.${index}:81`,
		availabilityZone,
		configurationOffset: 0,
		configurationHash: '',
		callsPerSecond,
	});
}

function countFirst(members: Array<ReturnType<typeof member>>, rounds: number): Map<string, number> {
	const random = createRandomSource(seed);
	const counts = new Map<string, number>();
	for (let round = 0; round < rounds; round++) {
		const [first] = createAddressAnswer({
			members, availabilityZone: nasr, ttlMs: 5000, maximumAddresses: 3, random,
		}).addresses;
		counts.set(first!.address, (counts.get(first!.address) ?? 0) + 1);
	}

	return counts;
}

describe('address answer', () => {
	it('should offer only live members, without duplicates, those of the caller\'s availability zone first', () => {
		const members = fc.array(fc.record({zone: fc.constantFrom('nasr', 'maadi', 'giza'), state: fc.constantFrom(...memberStates)}), {maxLength: 20});
		const property = fc.property(members, fc.integer(), fc.integer({min: 1, max: 6}), (made, order, maximumAddresses) => {
			const all = made.map(({zone, state}, index) => member(index, zone, 0, state));
			const {addresses} = createAddressAnswer({
				members: all, availabilityZone: nasr, ttlMs: 5000, maximumAddresses, random: createRandomSource(order),
			});
			const live = all.filter(({state}) => state === 'live');
			assert.equal(addresses.length, Math.min(maximumAddresses, live.length));
			assert.equal(new Set(addresses.map(({address}) => address)).size, addresses.length);
			const liveAddresses = new Set(live.map(({callerAddress}) => callerAddress));
			assert.ok(addresses.every(({address}) => liveAddresses.has(address)));
			const ownCount = live.filter(({availabilityZone}) => availabilityZone === nasr).length;
			assert.ok(addresses.slice(0, ownCount).every(({availabilityZone}) => availabilityZone === nasr));
		});
		fc.assert(property, {seed, numRuns: 200});
	});

	it('should send equal shares of callers to equally loaded instances', () => {
		const counts = countFirst([1, 2, 3, 4].map(index => member(index, 'nasr', 100)), 4000);
		assert.ok([...counts.values()].every(count => count > 850 && count < 1150), JSON.stringify([...counts]));
	});

	it('should send fewer callers to a more loaded instance', () => {
		const counts = countFirst([member(1, 'nasr', 300), member(2, 'nasr', 100)], 4000);
		assert.ok(counts.get('10.0.0.1:80')! < 1300);
		assert.ok(counts.get('10.0.0.1:80')! > 700);
	});

	it('should send some callers of an overloaded availability zone to other zones', () => {
		const counts = countFirst([member(1, 'nasr', 400), member(2, 'maadi', 100), member(3, 'maadi', 100)], 4000);
		const elsewhere = 4000 - (counts.get('10.0.0.1:80') ?? 0);
		assert.ok(elsewhere > 1500 && elsewhere < 2500, String(elsewhere));
	});
});
