import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AvailabilityZoneId} from '../model/ids.js';
import {createRandomSource} from '../model/random-source.js';
import type {FleetMember} from './fleet-member.js';
import {chooseUpdateTargets, chooseRelays} from './update-targets.js';

const ownZone = 'nasr' as AvailabilityZoneId;

function members(zone: string, count: number): readonly FleetMember[] {
	return Array.from({length: count}, (_, index) => ({host: `${zone}-${index}`, availabilityZone: zone}) as unknown as FleetMember);
}

describe('chooseRelays', () => {
	it('should choose two in each other availability zone, or the only one', () => {
		const relays = chooseRelays([...members('nasr', 60), ...members('giza', 60), ...members('maadi', 1)], ownZone, createRandomSource(1));
		assert.equal(new Set(relays).size, 3);
		assert.equal(relays.filter(host => host.startsWith('giza')).length, 2);
		assert.ok(relays.includes('maadi-0'));
	});
});

describe('chooseUpdateTargets', () => {
	it('should choose five in the own zone and one in another', () => {
		const targets = chooseUpdateTargets([...members('nasr', 60), ...members('giza', 250)], ownZone, createRandomSource(1));
		assert.equal(new Set(targets).size, 6);
		assert.equal(targets.filter(host => host.startsWith('nasr')).length, 5);
	});

	it('should choose more in other zones if the own zone has few', () => {
		const targets = chooseUpdateTargets([...members('nasr', 1), ...members('giza', 250)], ownZone, createRandomSource(1));
		assert.equal(targets.length, 6);
	});

	it('should choose all if there are few', () => {
		assert.equal(chooseUpdateTargets(members('giza', 2), ownZone, createRandomSource(1)).length, 2);
		assert.deepEqual(chooseUpdateTargets([], ownZone, createRandomSource(1)), []);
	});
});
