import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LatestEpoch, unknownEpoch, type StoreEpoch} from './store-epoch.js';

const epoch = (value: number) => value as StoreEpoch;

describe('LatestEpoch', () => {
	it('should make each later epoch the current one, even if it skips some', () => {
		const latest = new LatestEpoch();
		assert.equal(latest.observe(epoch(3)), 'later');
		assert.equal(latest.observe(epoch(3)), 'current');
		assert.equal(latest.observe(epoch(9)), 'later');
		assert.equal(latest.current, 9);
	});

	it('should never go back to an earlier epoch', () => {
		const latest = new LatestEpoch();
		latest.observe(epoch(3));
		assert.deepEqual([latest.observe(epoch(2)), latest.observe(unknownEpoch)], ['earlier', 'earlier']);
		assert.equal(latest.current, 3);
	});

	it('should keep the current epoch if none is reported', () => {
		const latest = new LatestEpoch();
		latest.observe(epoch(3));
		assert.equal(latest.observe(undefined), 'current');
		assert.equal(latest.current, 3);
	});
});
