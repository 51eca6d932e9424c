import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdaptiveLimit} from './adaptive-limit.js';

describe('adaptive limit', () => {
	it('should start at twice the slots, within the connection share', () => {
		assert.equal(new AdaptiveLimit(4, 10).value, 8);
		assert.equal(new AdaptiveLimit(4, 2).value, 2);
	});

	it('should grow only when it was reached, and not above its maximum', () => {
		const limit = new AdaptiveLimit(4, 10);
		limit.onShed(0, 10);
		const lowered = limit.value;
		limit.onAnswer(0, false);
		assert.equal(limit.value, lowered);
		for (let answer = 0; answer < 200; answer++) {
			limit.onAnswer(20, false);
		}

		assert.equal(limit.value, 8);
	});

	it('should fall on shed responses and pause the upstream longer with each consecutive one', () => {
		const limit = new AdaptiveLimit(4, 10);
		limit.onShed(0, 10);
		assert.equal(limit.admits(0, 4), false);
		assert.equal(limit.admits(0, 5), true);
		limit.onShed(5, 10);
		assert.equal(limit.admits(0, 14), false);
		assert.equal(limit.admits(0, 15), true);
		assert.ok(limit.value < 4);
	});

	it('should fall while answers stay slow and more requests are in flight than the upstream has slots, never below one', () => {
		const limit = new AdaptiveLimit(4, 10);
		for (let answer = 0; answer < 50; answer++) {
			limit.onAnswer(3, true);
		}

		assert.equal(limit.value, 8);
		for (let answer = 0; answer < 50; answer++) {
			limit.onAnswer(4, true);
		}

		assert.equal(limit.value, 1);
	});
});
