import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import type {AvailabilityZoneId, ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {RelayPeers, type RelayPeer} from './relay-peers.js';

const choices = 300;
const firstPauseMs = 100;
const service = 'ledger' as ServiceId;

function peer(host: string, zone: string): RelayPeer {
	return {host, availabilityZone: zone as AvailabilityZoneId};
}

describe('RelayPeers', () => {
	let clock: ManualClock;
	let candidates: RelayPeer[];
	let peers: RelayPeers;

	function chooseOften(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (let count = 0; count < choices; count++) {
			const host = peers.choose(service)?.host ?? 'none';
			counts.set(host, (counts.get(host) ?? 0) + 1);
		}

		return counts;
	}

	beforeEach(() => {
		clock = new ManualClock();
		candidates = [peer('near1', 'nasr'), peer('near2', 'nasr'), peer('far', 'giza')];
		peers = new RelayPeers({
			clock, random: createRandomSource(7), availabilityZone: 'nasr' as AvailabilityZoneId, candidates: () => candidates,
		});
	});

	it('should spread requests over instances of the own availability zone', () => {
		const counts = chooseOften();
		assert.equal(counts.get('far'), undefined);
		assert.ok(counts.get('near1')! > choices / 4);
		assert.ok(counts.get('near2')! > choices / 4);
	});

	it('should use other availability zones where those of the own one are busy', () => {
		for (const host of ['near1', 'near2']) {
			for (let count = 0; count < 8; count++) {
				peers.recordSent(peer(host, 'nasr'));
			}
		}

		assert.ok(chooseOften().get('far')! > 0);
	});

	it('should choose the preferred instance while it has room', () => {
		assert.equal(peers.choose(service, 'far')?.host, 'far');
		for (let count = 0; count < 8; count++) {
			peers.recordSent(peer('far', 'giza'));
		}

		assert.notEqual(peers.choose(service, 'far')?.host, 'far');
	});

	it('should choose nobody where there are no candidates', () => {
		candidates = [];
		assert.equal(peers.choose(service), undefined);
		assert.ok(!peers.hasCandidates(service));
	});

	describe('after an instance had no link', () => {
		beforeEach(() => {
			candidates = [peer('near1', 'nasr')];
			peers.recordSent(candidates[0]!);
			peers.recordEnd(candidates[0]!, service, 'no-link');
		});

		it('should choose it all the same if it has links and nobody else is left', () => {
			clock.advance(firstPauseMs);
			peers.recordSent(candidates[0]!);
			peers.recordEnd(candidates[0]!, service, 'failed');
			assert.equal(peers.choose(service)?.host, 'near1');
			candidates = [...candidates, peer('near2', 'nasr')];
			assert.equal(peers.choose(service)?.host, 'near2');
		});

		it('should not choose it for a while', () => {
			assert.equal(peers.choose(service), undefined);
			clock.advance(firstPauseMs);
			assert.equal(peers.choose(service)?.host, 'near1');
		});

		it('should count failures of requests in flight at the same time once', () => {
			peers.recordSent(candidates[0]!);
			peers.recordEnd(candidates[0]!, service, 'no-link');
			clock.advance(firstPauseMs);
			assert.equal(peers.choose(service)?.host, 'near1');
		});

		it('should still choose it for another service', () => {
			assert.equal(peers.choose('portal' as ServiceId)?.host, 'near1');
		});

		it('should not choose it for twice that time after a second failure', () => {
			clock.advance(firstPauseMs);
			peers.recordSent(candidates[0]!);
			peers.recordEnd(candidates[0]!, service, 'no-link');
			clock.advance(firstPauseMs);
			assert.equal(peers.choose(service), undefined);
			clock.advance(firstPauseMs);
			assert.equal(peers.choose(service)?.host, 'near1');
		});
	});
});
