import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {StoreHealth} from './store-health.js';
import {lapseGraceMs} from './upstream-registry.js';

describe('StoreHealth', () => {
	it('should take removals at their word while the store serves', () => {
		const trust = new StoreHealth(new ManualClock());
		assert.equal(trust.recordSuccess(), false);
		assert.deepEqual(trust.currentConfidence(), {type: 'sound'});
	});

	it('should say when the store was lost and regained, each once', () => {
		const trust = new StoreHealth(new ManualClock());
		assert.deepEqual([trust.recordFailure(), trust.recordFailure(), trust.recordSuccess(), trust.recordSuccess()], [true, false, true, false]);
	});

	it('should doubt removals until the time of grace after the return is over', () => {
		const clock = new ManualClock();
		const trust = new StoreHealth(clock);
		trust.recordFailure();
		clock.advance(5000);
		trust.recordSuccess();
		assert.deepEqual(trust.currentConfidence(), {type: 'after-outage', returnedAtMs: 5000});
		clock.advance(lapseGraceMs);
		assert.deepEqual(trust.currentConfidence(), {type: 'sound'});
	});
});
