import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandomSource} from '../../model/random-source.js';
import {lowestCost, twoRandomEntries} from './pick.js';

const seed = 20_264;
const draws = 6000;

function frequencies<T>(draw: () => T): Map<T, number> {
	const counts = new Map<T, number>();
	for (let index = 0; index < draws; index++) {
		const drawn = draw();
		counts.set(drawn, (counts.get(drawn) ?? 0) + (1 / draws));
	}

	return counts;
}

describe('lowest cost', () => {
	it('should break ties evenly, whatever the position of the other entries', () => {
		const random = createRandomSource(seed);
		const costs = [0, 5, 5, 0, 5, 0];
		const counts = frequencies(() => lowestCost([0, 1, 2, 3, 4, 5], 6, random, index => costs[index]!));
		assert.deepEqual([...counts.keys()].sort((a, b) => a - b), [0, 3, 5]);
		for (const share of counts.values()) {
			assert.ok(Math.abs(share - (1 / 3)) < 0.04, `share ${share}`);
		}
	});

	it('should compare no more entries than requested', () => {
		const random = createRandomSource(seed);
		let evaluations = 0;
		lowestCost(Array.from({length: 100}, (_, index) => index), 8, random, () => evaluations++);
		assert.equal(evaluations, 8);
	});
});

describe('two random entries', () => {
	it('should be distinct and uniformly distributed', () => {
		const random = createRandomSource(seed);
		const counts = frequencies(() => twoRandomEntries(['a', 'b', 'c'], random).join(''));
		assert.equal(counts.size, 6);
		for (const share of counts.values()) {
			assert.ok(Math.abs(share - (1 / 6)) < 0.03, `share ${share}`);
		}
	});
});
