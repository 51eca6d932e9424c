import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StopDeadline} from './stop-deadline.js';

describe('StopDeadline', () => {
	it('should allow everything before a stop', () => {
		assert.equal(new StopDeadline().allows(Number.MAX_VALUE), true);
	});

	it('should allow only what ends in time once a stop has begun, also if it begins again later', () => {
		const stop = new StopDeadline();
		stop.begin(100);
		stop.begin(200);
		assert.deepEqual([stop.allows(100), stop.allows(101)], [true, false]);
	});
});
