import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HeaderFilter} from './header-filter.js';

describe('HeaderFilter', () => {
	it('should keep end-to-end headers as they were spelled, in their order', () => {
		assert.deepEqual(new HeaderFilter().apply(['Host', 'h', 'X-A', '1', 'x-a', '2']), ['Host', 'h', 'X-A', '1', 'x-a', '2']);
	});

	it('should leave out what concerns one connection, also what its header names', () => {
		const headers = ['Connection', 'close, X-Hop', 'X-Hop', '1', 'Keep-Alive', 'timeout=5', 'Transfer-Encoding', 'chunked'];
		assert.deepEqual(new HeaderFilter().apply(headers), []);
	});

	it('should leave out what is named before and after the header that names it', () => {
		const headers = ['X-One', '1', 'Connection', 'X-One', 'X-Two', '2', 'connection', 'x-two', 'X-Three', '3'];
		assert.deepEqual(new HeaderFilter().apply(headers), ['X-Three', '3']);
	});

	it('should leave out what the program sets itself, however it is spelled', () => {
		assert.deepEqual(new HeaderFilter(['x-deadline']).apply(['X-Deadline', '5', 'X-A', '1', 'x-deadline', '6']), ['X-A', '1']);
	});
});
