import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {crashVerdict} from './crash-verdict.js';

describe('crash verdict', () => {
	it('should be a crash only where every connection broke and a connect is refused', () => {
		assert.equal(crashVerdict('refused', 0), 'crashed');
		assert.equal(crashVerdict('refused', 1), 'undecided');
		assert.equal(crashVerdict('timed-out', 0), 'undecided');
	});

	it('should take losses for ordinary resets where a connect succeeds', () => {
		assert.equal(crashVerdict('accepted', 0), 'alive');
	});
});
