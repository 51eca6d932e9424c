import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {forwardedHeaders} from './forwarded-headers.js';

describe('forwardedHeaders', () => {
	it('should keep end-to-end headers as they were spelled, in their order', () => {
		assert.deepEqual(forwardedHeaders(['Host', 'h', 'X-A', '1', 'x-a', '2']), ['Host', 'h', 'X-A', '1', 'x-a', '2']);
	});

	it('should leave out what concerns one connection, also what its header names', () => {
		assert.deepEqual(forwardedHeaders(['Connection', 'close, X-Hop', 'X-Hop', '1', 'Keep-Alive', 'timeout=5', 'Transfer-Encoding', 'chunked']), []);
	});

	it('should leave out what the gateway sets itself', () => {
		assert.deepEqual(forwardedHeaders(['X-Deadline', '5', 'X-A', '1'], ['x-deadline']), ['X-A', '1']);
	});
});
