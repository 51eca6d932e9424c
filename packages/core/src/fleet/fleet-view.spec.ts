import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, IncarnationId, InstanceId} from '../model/ids.js';
import type {FleetMember} from './fleet-member.js';
import {defaultFleetTiming, FleetView} from './fleet-view.js';

function member(host: string, changes: Partial<FleetMember> = {}): FleetMember {
	return {
		instance: `entry-${host}` as InstanceId,
		incarnation: `life-of-${host}` as IncarnationId,
		host,
		availabilityZone: 'nasr' as AvailabilityZoneId,
		ready: true,
		leaving: false,
		configurationVersion: 1,
		registryOffset: 0,
		registryDigest: 0,
		stateAgeMs: 0,
		reachesStore: true,
		...changes,
	};
}

describe('FleetView', () => {
	it('should offer what is ready, live and not leaving', () => {
		const view = new FleetView(new ManualClock());
		view.heard(member('10.0.0.1'));
		view.heard(member('10.0.0.2', {ready: false}));
		view.heard(member('10.0.0.3', {leaving: true}));
		assert.deepEqual(view.offered().map(({host}) => host), ['10.0.0.1']);
	});

	it('should not offer an instance that has fallen silent, and offer it again once it is heard', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.heard(member('10.0.0.1'));
		clock.advance(defaultFleetTiming.suspectAfterMs + 1);
		assert.deepEqual(view.offered(), []);
		assert.equal(view.heard(member('10.0.0.1')), true);
		assert.equal(view.offered().length, 1);
	});

	it('should let a new process take the place of the one before at its address', () => {
		const view = new FleetView(new ManualClock());
		view.heard(member('10.0.0.1'));
		assert.equal(view.heard(member('10.0.0.1')), false);
		assert.equal(view.heard(member('10.0.0.1', {incarnation: 'second-life' as IncarnationId})), true);
		assert.equal(view.live().length, 1);
	});

	it('should keep the greatest size that it saw, so that a cut never enlarges a share', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) {
			view.heard(member(host));
		}

		clock.advance(60_000);
		view.sweep();
		assert.equal(view.live().length, 0);
		assert.equal(view.greatestSize, 4);
	});

	it('should send heartbeats to candidates until they have been silent for long', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.addCandidates(['10.0.0.9']);
		assert.deepEqual(view.targets(), ['10.0.0.9']);
		clock.advance(defaultFleetTiming.forgetAfterMs + 1);
		assert.deepEqual(view.sweep(), ['10.0.0.9']);
		assert.deepEqual(view.targets(), []);
	});
});
