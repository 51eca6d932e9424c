import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	subsetSize, ringOrder, subsetPositionOf, takeSubset,
} from './subset.js';

const always = () => true;

function ring(upstreams: number): readonly string[] {
	return ringOrder(Array.from({length: upstreams}, (_, index) => `upstream-${index}`), id => id);
}

/** Returns how many of these instances have each upstream in their subset. */
function subsetCounts(upstreams: readonly string[], instances: number): readonly number[] {
	const counts = new Map(upstreams.map(id => [id, 0]));
	for (let index = 0; index < instances; index++) {
		for (const id of takeSubset(upstreams, {index, count: instances}, always)) {
			counts.set(id, counts.get(id)! + 1);
		}
	}

	return [...counts.values()];
}

describe('subsetPositionOf', () => {
	it('should give each instance a unique position in the same order on all instances', () => {
		const hosts = Array.from({length: 61}, (_, index) => `10.1.0.${index}`);
		const positions = hosts.map(host => subsetPositionOf(host, hosts.filter(other => other !== host)));
		assert.equal(new Set(positions.map(({index}) => index)).size, 61);
		assert.ok(positions.every(({count}) => count === 61));
	});
});

describe('takeSubset', () => {
	it('should spread the instances of zones of any size evenly: the busiest upstream under 1.3 times the mean', () => {
		for (const [instances, upstreams] of [[61, 87], [58, 61], [67, 64], [66, 111], [61, 49], [313, 503], [30, 503]] as const) {
			const counts = subsetCounts(ring(upstreams), instances);
			const mean = instances * subsetSize / upstreams;
			assert.ok(Math.max(...counts) <= Math.max(mean * 1.3, mean + 1), `${instances} on ${upstreams}: ${Math.max(...counts)} of ${mean}`);
		}
	});

	it('should keep the spread even while both numbers vary by a tenth', () => {
		fc.assert(fc.property(fc.integer({min: 280, max: 345}), fc.integer({min: 450, max: 553}), (instances, upstreams) => {
			const counts = subsetCounts(ring(upstreams), instances);
			assert.ok(Math.max(...counts) - Math.min(...counts) <= 2);
		}), {seed: 3, numRuns: 20});
	});

	it('should change subsets little when one instance leaves', () => {
		const upstreams = ring(87);
		let kept = 0;
		for (let index = 0; index < 60; index++) {
			const before = new Set(takeSubset(upstreams, {index, count: 61}, always));
			kept += takeSubset(upstreams, {index, count: 60}, always).filter(id => before.has(id)).length;
		}

		assert.ok(kept / 60 > subsetSize - 1, `${kept / 60} of ${subsetSize}`);
	});

	it('should replace unusable upstreams by the next ones on the ring', () => {
		const upstreams = ring(40);
		const subsetPosition = {index: 7, count: 20};
		const [first, ...others] = takeSubset(upstreams, subsetPosition, always);
		const taken = takeSubset(upstreams, subsetPosition, id => id !== first);
		assert.deepEqual(taken.slice(0, -1), others);
		assert.equal(taken.length, subsetSize);
	});

	it('should take all of a few upstreams, and none of an empty ring', () => {
		assert.equal(takeSubset(ring(5), {index: 2, count: 9}, always).length, 5);
		assert.deepEqual(takeSubset([], {index: 0, count: 1}, always), []);
	});
});
