import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {OwnWord, type OwnFlags} from './own-word.js';

const ready: OwnFlags = {ready: true, leaving: false, reachesStore: true};

describe('OwnWord', () => {
	it('should raise the revision with each change alone', () => {
		const word = new OwnWord();
		assert.equal(word.note({...ready, ready: false}), 'changed');
		assert.equal(word.note(ready), 'changed');
		assert.equal(word.note({...ready}), 'unchanged');
		assert.equal(word.note({...ready, reachesStore: false}), 'changed');
		assert.equal(word.revision, 3);
	});

	it('should tell that callers must leave', () => {
		const word = new OwnWord();
		word.note(ready);
		assert.equal(word.note({...ready, leaving: true}), 'withdrawn');
		assert.equal(word.note({...ready, leaving: true, reachesStore: false}), 'changed');
	});

	it('should contradict a doubt once', () => {
		const word = new OwnWord();
		word.note(ready);
		assert.equal(word.contradict(1), true);
		assert.equal(word.revision, 2);
		assert.equal(word.contradict(1), false);
	});
});
