import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checks} from './all-checks.js';
import {countOccurrences} from './mutant.js';
import {mutations} from './all-mutations.js';

describe('mutations of the soak', () => {
	for (const mutation of mutations) {
		it(`should match the build in exactly one place: ${mutation.name}`, () => {
			assert.equal(countOccurrences(mutation), 1);
		});
	}

	it('should cover each check with at least one mutation that it has to notice', () => {
		const noticed = new Set(mutations.map(({noticedBy}) => noticedBy));
		assert.deepEqual(checks.map(({name}) => name).filter(name => !noticed.has(name)), []);
		assert.equal(noticed.size, checks.length);
	});
});
