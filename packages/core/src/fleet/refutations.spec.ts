import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {Refutations} from './refutations.js';

describe('Refutations', () => {
	it('should protect only the member that has refuted its loss, for 20 s', () => {
		const clock = new ManualClock();
		const refutations = new Refutations(clock);
		refutations.record('10.0.0.1');
		clock.advance(19_999);
		assert.equal(refutations.hasRefutedRecently('10.0.0.1'), true);
		assert.equal(refutations.hasRefutedRecently('10.0.0.2'), false);
		clock.advance(1);
		assert.equal(refutations.hasRefutedRecently('10.0.0.1'), false);
	});
});
