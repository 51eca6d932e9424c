import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {UpstreamId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {AdvisoryCache, type UpstreamStart} from './advisory-cache.js';

const start: UpstreamStart = {
	id: 'u1' as UpstreamId, startedAtMs: 7, host: '10.0.0.1', port: 80,
};

describe('AdvisoryBook', () => {
	it('should know what a start of an upstream has advised when its entry is back', () => {
		const book = new AdvisoryCache(new ManualClock());
		book.recordFor(start).update({type: 'leaving'});
		assert.deepEqual(book.recordFor({...start}).availability, {type: 'leaving'});
	});

	it('should know nothing of another start, nor of another upstream', () => {
		const book = new AdvisoryCache(new ManualClock());
		book.recordFor(start).update({type: 'leaving'});
		const others = [{...start, startedAtMs: 8}, {...start, id: 'u2' as UpstreamId}, {...start, port: 81}];
		for (const other of others) {
			assert.deepEqual(book.recordFor(other).availability, {type: 'available'});
		}
	});

	it('should forget those first that were not asked for the longest', () => {
		const book = new AdvisoryCache(new ManualClock());
		book.recordFor(start).update({type: 'leaving'});
		for (let port = 1000; port < 1000 + 4096; port++) {
			book.recordFor({...start, port});
		}

		assert.deepEqual(book.recordFor(start).availability, {type: 'available'});
	});
});
