import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {StoreHealth} from './store-health.js';
import {lapseGraceMs} from './upstream-registry.js';

describe('StoreHealth', () => {
	it('should consider removals reliable while the store is available', () => {
		const health = new StoreHealth(new ManualClock());
		assert.equal(health.recordSuccess(), false);
		assert.deepEqual(health.currentConfidence(), {type: 'sound'});
	});

	it('should report once that the store was lost, and once that it was regained', () => {
		const health = new StoreHealth(new ManualClock());
		assert.deepEqual([health.recordFailure(), health.recordFailure(), health.recordSuccess(), health.recordSuccess()], [true, false, true, false]);
	});

	it('should not consider removals reliable until the grace period after the return is over', () => {
		const clock = new ManualClock();
		const health = new StoreHealth(clock);
		health.recordFailure();
		clock.advance(5000);
		health.recordSuccess();
		assert.deepEqual(health.currentConfidence(), {type: 'after-outage', returnedAtMs: 5000});
		clock.advance(lapseGraceMs);
		assert.deepEqual(health.currentConfidence(), {type: 'sound'});
	});
});
