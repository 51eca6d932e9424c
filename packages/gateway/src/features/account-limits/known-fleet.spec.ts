import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, type AvailabilityZoneId, type IncarnationId} from '@cairnbank/core';
import {FleetView, type FleetMember} from '@cairnbank/core/fleet';
import {unknownEpoch} from '@cairnbank/core/registry';
import {describeFleet} from './known-fleet.js';

const seed = '10.0.0.2';
/** The longest cut between instances, with the time in which they notice that it is over. */
const longestCutMs = 6500;
/** Time after a restart within which an account is served again. */
const recoveryMs = 15_000;
const hourMs = 3_600_000;

function memberAt(host: string, fleetSize = 0): FleetMember {
	return {
		incarnation: host as IncarnationId, host, availabilityZone: 'nasr' as AvailabilityZoneId, revision: 1, ready: true, leaving: false, membersDigest: 0,
		fleetSize: {instances: fleetSize, ageMs: 0}, configurationVersion: 1, storeEpoch: unknownEpoch, evacuations: {revision: 0, zones: [], cancelled: []},
		registryOffset: 0, registryDigest: 0, stateAgeMs: 0, reachesStore: true, reachesUpstreams: true, suspectsDigest: 0,
	};
}

function fixture(seeds: readonly string[] = [seed]) {
	const clock = new ManualClock();
	const view = new FleetView(clock);
	const startedAtMs = clock.monotonicMs();
	return {
		clock,
		view,
		fleet: () => describeFleet({
			view, others: view.offered().map(({host}) => host), seeds, sinceStartMs: clock.monotonicMs() - startedAtMs, isLeaving: false,
		}),
	};
}

describe('fleet known to the limits of accounts', () => {
	describe('of an instance that has heard no other one since its start', () => {
		it('should not let it decide as long as the others may live behind a cut', () => {
			const {clock, fleet} = fixture();
			clock.advance(longestCutMs);
			assert.equal(fleet().isKnown, false);
		});

		// Guards against a lone instance that refuses all requests of limited accounts for good.
		it('should let it decide in the end, on a part of the limit', () => {
			const {clock, fleet} = fixture();
			clock.advance(recoveryMs);
			const {isKnown, instances} = fleet();
			assert.deepEqual({isKnown, instances}, {isKnown: true, instances: 2});
		});

		it('should count addresses from the store too while one may answer', () => {
			const {clock, view, fleet} = fixture();
			view.addCandidates([seed, '10.0.0.3', '10.0.0.4']);
			clock.advance(recoveryMs);
			assert.equal(fleet().instances, 4);
		});

		it('should let it decide on the whole limit once a fleet of that size would be forgotten', () => {
			const {clock, fleet} = fixture();
			clock.advance(hourMs + 1);
			assert.equal(fleet().instances, 1);
		});

		it('should let it decide soon where there is no other address', () => {
			const {clock, fleet} = fixture([]);
			clock.advance(600);
			assert.equal(fleet().isKnown, true);
		});

		it('should say that nobody can be asked, so that requests don\'t wait in vain', () => {
			const {clock, view, fleet} = fixture();
			clock.advance(100);
			assert.equal(fleet().isAlone, false);
			clock.advance(2000);
			assert.equal(fleet().isAlone, true);
			view.receiveHeartbeat(memberAt(seed));
			assert.equal(fleet().isAlone, false);
		});
	});

	it('should be known soon to an instance that has heard of as many as others report', () => {
		const {clock, view, fleet} = fixture();
		clock.advance(600);
		view.receiveHeartbeat(memberAt('10.0.0.3', 3));
		view.receiveHeartbeat(memberAt(seed));
		const {isKnown, instances} = fleet();
		assert.deepEqual({isKnown, instances}, {isKnown: true, instances: 3});
	});

	// Guards against an instance that starts again and decides beside one that it doesn't know yet.
	it('should be known to one that has heard of fewer only after some time', () => {
		const {clock, view, fleet} = fixture();
		view.receiveHeartbeat(memberAt('10.0.0.3', 9));
		clock.advance(600);
		assert.equal(fleet().isKnown, false);
		clock.advance(2000);
		const {isKnown, instances} = fleet();
		assert.deepEqual({isKnown, instances}, {isKnown: true, instances: 9});
	});

	it('should contain those that are no longer heard as suspected, unless they have left', () => {
		const {clock, view, fleet} = fixture();
		view.receiveHeartbeat(memberAt('10.0.0.3'));
		view.receiveHeartbeat({...memberAt('10.0.0.4'), leaving: true});
		view.receiveHeartbeat(memberAt('10.0.0.5'));
		clock.advance(2000);
		view.receiveHeartbeat({...memberAt('10.0.0.5'), revision: 2});
		const {others, suspected, zoneOf} = fleet();
		assert.deepEqual({others, suspected, zone: zoneOf('10.0.0.3')}, {others: ['10.0.0.5'], suspected: ['10.0.0.3'], zone: 'nasr'});
	});
});
