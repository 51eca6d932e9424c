import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RunningRequests} from './running-requests.js';

describe('RunningRequests', () => {
	it('should leave half of the bound to other services', () => {
		const running = new RunningRequests<string>(4);
		assert.deepEqual(['a', 'a', 'a'].map(service => running.tryBegin(service)), [true, true, false]);
		assert.deepEqual(['b', 'c', 'd'].map(service => running.tryBegin(service)), [true, true, false]);
	});

	it('should have room again once a request has ended', () => {
		const running = new RunningRequests<string>(2);
		running.tryBegin('a');
		assert.equal(running.tryBegin('a'), false);
		running.end('a');
		assert.equal(running.tryBegin('a'), true);
	});
});
