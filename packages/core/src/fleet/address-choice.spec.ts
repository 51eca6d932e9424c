import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AvailabilityZoneId} from '../model/ids.js';
import {chooseAddresses, type Addressable} from './address-choice.js';

const maximum = 64;
const nasr = 'nasr' as AvailabilityZoneId;

function instances(zone: string, count: number): readonly Addressable[] {
	return Array.from({length: count}, (_, index) => ({host: `${zone}-${index}`, availabilityZone: zone as AvailabilityZoneId}));
}

describe('chooseAddresses', () => {
	it('should name all instances of a small fleet, whatever their zone', () => {
		const all = [...instances('nasr', 5), ...instances('giza', 6)];
		assert.deepEqual(chooseAddresses(all, nasr, maximum), all);
	});

	it('should name those of the caller\'s own availability zone where there are enough', () => {
		const named = chooseAddresses([...instances('giza', 250), ...instances('nasr', 12)], nasr, maximum);
		assert.deepEqual(named, instances('nasr', 12));
	});

	it('should name others too where the own zone has too few left', () => {
		const named = chooseAddresses([...instances('giza', 40), ...instances('nasr', 11)], nasr, maximum);
		assert.equal(named.length, 51);
	});

	it('should name the same ones whatever the order in which they are known, and change few as one goes', () => {
		const all = [...instances('giza', 200), ...instances('maadi', 100)];
		const named = chooseAddresses(all, nasr, maximum);
		assert.equal(named.length, maximum);
		assert.deepEqual(chooseAddresses(all.toReversed(), nasr, maximum), named);
		const [gone] = named;
		const after = new Set(chooseAddresses(all.filter(member => member !== gone), nasr, maximum));
		assert.equal(named.filter(member => after.has(member)).length, maximum - 1);
	});

	it('should send callers of different zones to different instances where none has enough of its own', () => {
		const all = instances('giza', 300);
		const [left, right] = ['nasr', 'maadi'].map(zone => new Set(chooseAddresses(all, zone as AvailabilityZoneId, maximum)));
		assert.ok([...left!].filter(member => right!.has(member)).length < maximum / 2);
	});
});
