import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HeldBodies, maximumHeldBodyBytes} from './held-bodies.js';

describe('HeldBodies', () => {
	it('should reserve memory up to its bound', () => {
		const bodies = new HeldBodies();
		assert.equal(bodies.reserve(maximumHeldBodyBytes), true);
		assert.equal(bodies.reserve(1), false);
	});

	it('should reserve nothing for a body that doesn\'t fit', () => {
		const bodies = new HeldBodies();
		bodies.reserve(1);
		assert.equal(bodies.reserve(maximumHeldBodyBytes), false);
		assert.equal(bodies.bytes, 1);
	});

	it('should have room again once a body is released', () => {
		const bodies = new HeldBodies();
		bodies.reserve(maximumHeldBodyBytes);
		bodies.release(maximumHeldBodyBytes);
		assert.equal(bodies.reserve(maximumHeldBodyBytes), true);
	});
});
