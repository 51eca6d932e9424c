import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock, type Fingerprint, type UpstreamId} from '@cairnbank/core';
import {unknownBuild} from '@cairnbank/core/upstream-build';
import {AbandonedRequests, type SuspectRun} from './abandoned-requests.js';

const upstream = 'u1' as UpstreamId;
const other = 'u2' as UpstreamId;
const retentionMs = 1000;
const maximumRequests = 512;

function run(id: UpstreamId, requestId: string): SuspectRun {
	return {suspect: {requestId, fingerprint: () => requestId as Fingerprint, description: {}}, upstream: id, build: unknownBuild};
}

describe('AbandonedRequests', () => {
	let clock: ManualClock;
	let requests: AbandonedRequests;

	const idsAt = (id: UpstreamId) => requests.at(id).map(({suspect}) => suspect.requestId);

	beforeEach(() => {
		clock = new ManualClock();
		requests = new AbandonedRequests(clock);
	});

	it('should return the requests that one upstream was running', () => {
		requests.record(run(upstream, 'a'));
		requests.record(run(other, 'b'));
		requests.record(run(upstream, 'c'));
		assert.deepEqual([idsAt(upstream), idsAt(other)], [['a', 'c'], ['b']]);
	});

	it('should forget a request whose run has ended, at its upstream alone', () => {
		requests.record(run(upstream, 'a'));
		requests.record(run(other, 'a'));
		requests.forget(upstream, 'a');
		assert.deepEqual([idsAt(upstream), idsAt(other)], [[], ['a']]);
	});

	it('should forget a request after the time for which an upstream may go on with it', () => {
		requests.record(run(upstream, 'a'));
		clock.advance(retentionMs);
		assert.deepEqual(idsAt(upstream), ['a']);
		clock.advance(1);
		assert.deepEqual(idsAt(upstream), []);
	});

	it('should keep a bounded number of requests, the latest ones', () => {
		for (let index = 0; index <= maximumRequests; index++) {
			requests.record(run(upstream, String(index)));
		}

		assert.equal(idsAt(upstream).length, maximumRequests);
		assert.equal(idsAt(upstream)[0], '1');
	});
});
