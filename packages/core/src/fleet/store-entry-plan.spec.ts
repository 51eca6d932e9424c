import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planEntry, type EntrySituation} from './store-entry-plan.js';

const settled: EntrySituation = {
	hasSeeds: true, hasHeardOthers: true, rank: 100, isEntered: false, hasListed: false, sinceStartMs: 60_000,
};

describe('planEntry', () => {
	it('should make no call for an instance that others have answered', () => {
		assert.equal(planEntry(settled), 'wait');
		assert.equal(planEntry({...settled, sinceStartMs: 0}), 'wait');
	});

	it('should look into the store where none of those named has answered', () => {
		const alone = {...settled, hasHeardOthers: false};
		assert.equal(planEntry({...alone, sinceStartMs: 249}), 'wait');
		assert.equal(planEntry({...alone, sinceStartMs: 250}), 'enter-and-list');
	});

	it('should look into the store at once where nobody was named', () => {
		assert.equal(planEntry({
			...settled, hasHeardOthers: false, hasSeeds: false, sinceStartMs: 0,
		}), 'enter-and-list');
	});

	it('should look there only once where the store names nobody either', () => {
		assert.equal(planEntry({
			...settled, hasHeardOthers: false, isEntered: true, hasListed: true, rank: 0,
		}), 'wait');
	});

	it('should keep the first eight of all in the store, once it is known who they are', () => {
		assert.equal(planEntry({...settled, rank: 7}), 'enter');
		assert.equal(planEntry({...settled, rank: 8}), 'wait');
		assert.equal(planEntry({...settled, rank: 7, isEntered: true}), 'wait');
		assert.equal(planEntry({...settled, rank: 7, sinceStartMs: 2999}), 'wait');
	});
});
