import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {Refutations} from './refutations.js';

describe('Contradictions', () => {
	it('should trust a member for 20 s after its word, and no other one', () => {
		const clock = new ManualClock();
		const contradictions = new Refutations(clock);
		contradictions.record('10.0.0.1');
		clock.advance(19_999);
		assert.equal(contradictions.hasRefutedRecently('10.0.0.1'), true);
		assert.equal(contradictions.hasRefutedRecently('10.0.0.2'), false);
		clock.advance(1);
		assert.equal(contradictions.hasRefutedRecently('10.0.0.1'), false);
	});
});
