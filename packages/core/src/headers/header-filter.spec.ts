import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {HeaderFilter} from './header-filter.js';

describe('HeaderFilter', () => {
	it('should keep the spelling and order of end-to-end headers', () => {
		assert.deepEqual(new HeaderFilter().apply(['Host', 'h', 'X-A', '1', 'x-a', '2']), ['Host', 'h', 'X-A', '1', 'x-a', '2']);
	});

	it('should remove hop-by-hop headers, including those listed in Connection', () => {
		const headers = ['Connection', 'close, X-Hop', 'X-Hop', '1', 'Keep-Alive', 'timeout=5', 'Transfer-Encoding', 'chunked'];
		assert.deepEqual(new HeaderFilter().apply(headers), []);
	});

	it('should remove listed headers before and after the Connection header that lists them', () => {
		const headers = ['X-One', '1', 'Connection', 'X-One', 'X-Two', '2', 'connection', 'x-two', 'X-Three', '3'];
		assert.deepEqual(new HeaderFilter().apply(headers), ['X-Three', '3']);
	});

	it('should remove the additional headers regardless of their case', () => {
		assert.deepEqual(new HeaderFilter(['x-deadline']).apply(['X-Deadline', '5', 'X-A', '1', 'x-deadline', '6']), ['X-A', '1']);
	});
});
