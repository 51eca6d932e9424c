import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {classifyCrash} from './crash-classification.js';

describe('crash classification', () => {
	it('should be a crash only if all connections are lost and a new connection is refused', () => {
		assert.equal(classifyCrash('refused', 0), 'crashed');
		assert.equal(classifyCrash('refused', 1), 'undecided');
		assert.equal(classifyCrash('timed-out', 0), 'undecided');
	});

	it('should treat lost connections as ordinary resets if a new connection succeeds', () => {
		assert.equal(classifyCrash('accepted', 0), 'alive');
	});
});
