import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {classifyCrash} from './crash-classification.js';

describe('crash verdict', () => {
	it('should be a crash only where every connection broke and a connect is refused', () => {
		assert.equal(classifyCrash('refused', 0), 'crashed');
		assert.equal(classifyCrash('refused', 1), 'undecided');
		assert.equal(classifyCrash('timed-out', 0), 'undecided');
	});

	it('should take losses for ordinary resets where a connect succeeds', () => {
		assert.equal(classifyCrash('accepted', 0), 'alive');
	});
});
