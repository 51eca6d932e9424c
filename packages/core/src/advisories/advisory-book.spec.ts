import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {UpstreamId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {AdvisoryBook, type UpstreamStart} from './advisory-book.js';

const start: UpstreamStart = {
	id: 'u1' as UpstreamId, startedAtMs: 7, host: '10.0.0.1', port: 80,
};

describe('AdvisoryBook', () => {
	it('should know what a start of an upstream has advised when its entry is back', () => {
		const book = new AdvisoryBook(new ManualClock());
		book.recordOf(start).learn({type: 'leaving'});
		assert.deepEqual(book.recordOf({...start}).availability, {type: 'leaving'});
	});

	it('should know nothing of another start, nor of another upstream', () => {
		const book = new AdvisoryBook(new ManualClock());
		book.recordOf(start).learn({type: 'leaving'});
		const others = [{...start, startedAtMs: 8}, {...start, id: 'u2' as UpstreamId}, {...start, port: 81}];
		for (const other of others) {
			assert.deepEqual(book.recordOf(other).availability, {type: 'available'});
		}
	});

	it('should forget those first that were not asked for the longest', () => {
		const book = new AdvisoryBook(new ManualClock());
		book.recordOf(start).learn({type: 'leaving'});
		for (let port = 1000; port < 1000 + 4096; port++) {
			book.recordOf({...start, port});
		}

		assert.deepEqual(book.recordOf(start).availability, {type: 'available'});
	});
});
