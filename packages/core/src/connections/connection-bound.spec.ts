import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ConnectionBound} from './connection-bound.js';

describe('ConnectionBound', () => {
	it('should end none while there are few enough', () => {
		const bound = new ConnectionBound<string>(2);
		assert.equal(bound.opened('a'), undefined);
		assert.equal(bound.opened('b'), undefined);
		bound.closed('a');
		assert.equal(bound.opened('c'), undefined);
		assert.equal(bound.size, 2);
	});

	describe('with as many connections as it allows', () => {
		it('should end the one that has rested for longest', () => {
			const bound = new ConnectionBound<string>(3);
			for (const connection of ['a', 'b', 'c']) {
				bound.opened(connection);
			}

			bound.busy('a');
			bound.resting('a');
			assert.equal(bound.opened('d'), 'b');
			assert.equal(bound.opened('e'), 'c');
			assert.equal(bound.opened('f'), 'a');
			assert.equal(bound.size, 3);
		});

		it('should end a busy one whose request does not run if none rests', () => {
			const bound = new ConnectionBound<string>(2);
			for (const connection of ['a', 'b']) {
				bound.opened(connection);
				bound.busy(connection);
			}

			assert.equal(bound.opened('c', connection => connection === 'b'), 'b');
			assert.equal(bound.size, 2);
		});

		it('should end the new one if all others are busy', () => {
			const bound = new ConnectionBound<string>(1);
			bound.opened('a');
			bound.busy('a');
			assert.equal(bound.opened('b'), 'b');
			bound.resting('a');
			assert.equal(bound.opened('c'), 'a');
		});
	});
});
