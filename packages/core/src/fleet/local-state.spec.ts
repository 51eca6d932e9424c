import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LocalState, type LocalFlags} from './local-state.js';

const ready: LocalFlags = {
	ready: true, leaving: false, reachesStore: true, reachesUpstreams: true,
};

describe('LocalState', () => {
	it('should increment the revision only if something changed', () => {
		const state = new LocalState();
		assert.equal(state.setFlags({...ready, ready: false}), 'changed');
		assert.equal(state.setFlags(ready), 'changed');
		assert.equal(state.setFlags({...ready}), 'unchanged');
		assert.equal(state.setFlags({...ready, reachesStore: false}), 'changed');
		assert.equal(state.revision, 3);
	});

	it('should report that callers must not be sent here any more', () => {
		const state = new LocalState();
		state.setFlags(ready);
		assert.equal(state.setFlags({...ready, leaving: true}), 'withdrawn');
		assert.equal(state.setFlags({...ready, leaving: true, reachesStore: false}), 'changed');
	});

	it('should refute a declared loss once', () => {
		const state = new LocalState();
		state.setFlags(ready);
		assert.equal(state.refute(1), true);
		assert.equal(state.revision, 2);
		assert.equal(state.refute(1), false);
	});
});
