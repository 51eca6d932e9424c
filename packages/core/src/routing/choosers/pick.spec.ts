import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandomSource} from '../../model/random-source.js';
import {lowestCost, twoRandomEntries} from './pick.js';

const seed = 20_264;
const draws = 6000;

function shares<T>(draw: () => T): Map<T, number> {
	const counts = new Map<T, number>();
	for (let index = 0; index < draws; index++) {
		const drawn = draw();
		counts.set(drawn, (counts.get(drawn) ?? 0) + (1 / draws));
	}

	return counts;
}

describe('lowest cost', () => {
	it('should break ties evenly, wherever the worse entries stand', () => {
		const random = createRandomSource(seed);
		const costs = [0, 5, 5, 0, 5, 0];
		const counts = shares(() => lowestCost([0, 1, 2, 3, 4, 5], 6, random, index => costs[index]!));
		assert.deepEqual([...counts.keys()].sort((a, b) => a - b), [0, 3, 5]);
		for (const share of counts.values()) {
			assert.ok(Math.abs(share - (1 / 3)) < 0.04, `share ${share}`);
		}
	});

	it('should look at no more entries than asked', () => {
		const random = createRandomSource(seed);
		let looks = 0;
		lowestCost(Array.from({length: 100}, (_, index) => index), 8, random, () => looks++);
		assert.equal(looks, 8);
	});
});

describe('two random entries', () => {
	it('should be distinct and even', () => {
		const random = createRandomSource(seed);
		const counts = shares(() => twoRandomEntries(['a', 'b', 'c'], random).join(''));
		assert.equal(counts.size, 6);
		for (const share of counts.values()) {
			assert.ok(Math.abs(share - (1 / 6)) < 0.03, `share ${share}`);
		}
	});
});
