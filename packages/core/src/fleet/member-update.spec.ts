import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {IncarnationId} from '../model/ids.js';
import {supersedes} from './member-update.js';

const known = {incarnation: 'b' as IncarnationId, revision: 3, isLost: false};

describe('supersedes', () => {
	it('should prefer a later process, whatever its revision', () => {
		assert.equal(supersedes({...known, incarnation: 'c' as IncarnationId, revision: 0}, known), true);
		assert.equal(supersedes({...known, incarnation: 'a' as IncarnationId, revision: 9}, known), false);
	});

	it('should prefer the higher revision, even if the lower one reports a loss', () => {
		assert.equal(supersedes({...known, revision: 4}, {...known, isLost: true}), true);
		assert.equal(supersedes({...known, revision: 2, isLost: true}, known), false);
	});

	it('should let only the member itself refute that it is lost', () => {
		assert.equal(supersedes({...known, isLost: true}, known), true);
		assert.equal(supersedes(known, {...known, isLost: true}), false);
		assert.equal(supersedes({...known, isLost: true}, {...known, isLost: true}), false);
	});
});
