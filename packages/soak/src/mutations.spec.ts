import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checks} from './checks.js';
import {countOccurrences} from './mutant.js';
import {mutations} from './mutations.js';

describe('mutations of the soak', () => {
	for (const mutation of mutations) {
		it(`should fit the build: ${mutation.name}`, () => {
			assert.equal(countOccurrences(mutation), 1);
		});
	}

	it('should each break a promise, so that each check has one that it has to notice', () => {
		const noticed = new Set(mutations.map(({noticedBy}) => noticedBy));
		assert.deepEqual(checks.map(({name}) => name).filter(name => !noticed.has(name)), []);
		assert.equal(noticed.size, checks.length);
	});
});
