import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {UpstreamId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {AdvisoryCache, type UpstreamStart} from './advisory-cache.js';

const start: UpstreamStart = {
	id: 'u1' as UpstreamId, startedAtMs: 7, host: '10.0.0.1', port: 80,
};

describe('AdvisoryCache', () => {
	it('should return the same advisories when the registry entry of a start reappears', () => {
		const cache = new AdvisoryCache(new ManualClock());
		cache.recordFor(start).update({type: 'leaving'});
		assert.deepEqual(cache.recordFor({...start}).availability, {type: 'leaving'});
	});

	it('should keep starts and upstreams apart', () => {
		const cache = new AdvisoryCache(new ManualClock());
		cache.recordFor(start).update({type: 'leaving'});
		const others = [{...start, startedAtMs: 8}, {...start, id: 'u2' as UpstreamId}, {...start, port: 81}];
		for (const other of others) {
			assert.deepEqual(cache.recordFor(other).availability, {type: 'available'});
		}
	});

	it('should evict the least recently used record first', () => {
		const cache = new AdvisoryCache(new ManualClock());
		cache.recordFor(start).update({type: 'leaving'});
		for (let port = 1000; port < 1000 + 4096; port++) {
			cache.recordFor({...start, port});
		}

		assert.deepEqual(cache.recordFor(start).availability, {type: 'available'});
	});
});
