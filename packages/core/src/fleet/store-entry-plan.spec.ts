import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {planEntry, type EntrySituation} from './store-entry-plan.js';

const settled: EntrySituation = {
	hasSeeds: true, hasHeardOthers: true, rank: 100, isEntered: false, hasListed: false, sinceStartMs: 60_000,
};

describe('planEntry', () => {
	it('should make no call if others have answered', () => {
		assert.equal(planEntry(settled), 'wait');
		assert.equal(planEntry({...settled, sinceStartMs: 0}), 'wait');
	});

	it('should read the store if none of the addresses in the settings has answered', () => {
		const alone = {...settled, hasHeardOthers: false};
		assert.equal(planEntry({...alone, sinceStartMs: 249}), 'wait');
		assert.equal(planEntry({...alone, sinceStartMs: 250}), 'enter-and-list');
	});

	it('should read the store at once if the settings contain no addresses', () => {
		assert.equal(planEntry({
			...settled, hasHeardOthers: false, hasSeeds: false, sinceStartMs: 0,
		}), 'enter-and-list');
	});

	it('should read the store only once if it contains no addresses either', () => {
		assert.equal(planEntry({
			...settled, hasHeardOthers: false, isEntered: true, hasListed: true, rank: 0,
		}), 'wait');
	});

	it('should keep the first eight instances in the store, once their order is reliable', () => {
		assert.equal(planEntry({...settled, rank: 7}), 'enter');
		assert.equal(planEntry({...settled, rank: 8}), 'wait');
		assert.equal(planEntry({...settled, rank: 7, isEntered: true}), 'wait');
		assert.equal(planEntry({...settled, rank: 7, sinceStartMs: 2999}), 'wait');
	});
});
