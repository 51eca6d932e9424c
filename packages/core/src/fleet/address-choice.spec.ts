import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AvailabilityZoneId} from '../model/ids.js';
import {chooseAddresses, withoutLostLinks, type Addressable} from './address-choice.js';

const maximum = 64;
const nasr = 'nasr' as AvailabilityZoneId;

function instances(zone: string, count: number): readonly Addressable[] {
	return Array.from({length: count}, (_, index) => ({host: `${zone}-${index}`, availabilityZone: zone as AvailabilityZoneId}));
}

describe('chooseAddresses', () => {
	it('should choose all instances of a small fleet, whatever their zone', () => {
		const fleet = [...instances('nasr', 5), ...instances('giza', 6)];
		assert.deepEqual(chooseAddresses(fleet, nasr, maximum), fleet);
	});

	it('should choose only instances of the caller\'s availability zone if there are enough', () => {
		const chosen = chooseAddresses([...instances('giza', 250), ...instances('nasr', 12)], nasr, maximum);
		assert.deepEqual(chosen, instances('nasr', 12));
	});

	it('should choose instances of other zones too if the caller\'s zone has too few', () => {
		const chosen = chooseAddresses([...instances('giza', 40), ...instances('nasr', 11)], nasr, maximum);
		assert.equal(chosen.length, 51);
	});

	it('should not depend on the order of the instances, and replace only one address if one instance leaves', () => {
		const fleet = [...instances('giza', 200), ...instances('maadi', 100)];
		const chosen = chooseAddresses(fleet, nasr, maximum);
		assert.equal(chosen.length, maximum);
		assert.deepEqual(chooseAddresses(fleet.toReversed(), nasr, maximum), chosen);
		const [removed] = chosen;
		const after = new Set(chooseAddresses(fleet.filter(member => member !== removed), nasr, maximum));
		assert.equal(chosen.filter(member => after.has(member)).length, maximum - 1);
	});

	it('should give callers of different zones different instances if no zone has enough of its own', () => {
		const fleet = instances('giza', 300);
		const [left, right] = ['nasr', 'maadi'].map(zone => new Set(chooseAddresses(fleet, zone as AvailabilityZoneId, maximum)));
		assert.ok([...left!].filter(member => right!.has(member)).length < maximum / 2);
	});
});

describe('withoutLostLinks', () => {
	const members = (reaching: number, lost: number) => [
		...Array.from({length: reaching}, () => ({reachesUpstreams: true})),
		...Array.from({length: lost}, () => ({reachesUpstreams: false})),
	];

	it('should leave out instances without links while half of all have some', () => {
		assert.equal(withoutLostLinks(members(3, 3)).length, 3);
	});

	it('should offer all instances where fewer have links', () => {
		assert.equal(withoutLostLinks(members(2, 3)).length, 5);
		assert.equal(withoutLostLinks(members(0, 3)).length, 3);
	});
});
