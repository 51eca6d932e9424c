import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LocalState, type LocalFlags} from './local-state.js';

const ready: LocalFlags = {ready: true, leaving: false, reachesStore: true};

describe('LocalState', () => {
	it('should raise the revision with each change alone', () => {
		const state = new LocalState();
		assert.equal(state.setFlags({...ready, ready: false}), 'changed');
		assert.equal(state.setFlags(ready), 'changed');
		assert.equal(state.setFlags({...ready}), 'unchanged');
		assert.equal(state.setFlags({...ready, reachesStore: false}), 'changed');
		assert.equal(state.revision, 3);
	});

	it('should show that callers must leave', () => {
		const state = new LocalState();
		state.setFlags(ready);
		assert.equal(state.setFlags({...ready, leaving: true}), 'withdrawn');
		assert.equal(state.setFlags({...ready, leaving: true, reachesStore: false}), 'changed');
	});

	it('should refute a suspicion once', () => {
		const state = new LocalState();
		state.setFlags(ready);
		assert.equal(state.refute(1), true);
		assert.equal(state.revision, 2);
		assert.equal(state.refute(1), false);
	});
});
