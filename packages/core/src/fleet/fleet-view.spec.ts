import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, IncarnationId} from '../model/ids.js';
import {unknownEpoch} from '../registry/store-epoch.js';
import type {FleetMember} from './fleet-member.js';
import {unknownFleetSize} from './fleet-size.js';
import {defaultFleetTiming, FleetView} from './fleet-view.js';

function member(host: string, changes: Partial<FleetMember> = {}): FleetMember {
	return {
		incarnation: `life-of-${host}` as IncarnationId,
		host,
		availabilityZone: 'nasr' as AvailabilityZoneId,
		ready: true,
		leaving: false,
		revision: 0,
		membersDigest: 0,
		fleetSize: unknownFleetSize,
		configurationVersion: 1,
		storeEpoch: unknownEpoch, evacuations: {revision: 0, zones: [], cancelled: []},
		registryOffset: 0,
		registryDigest: 0,
		stateAgeMs: 0,
		suspectsDigest: 0,
		reachesStore: true,
		reachesUpstreams: true,
		...changes,
	};
}

describe('FleetView', () => {
	it('should offer only instances that are ready, alive and not leaving', () => {
		const view = new FleetView(new ManualClock());
		view.receiveHeartbeat(member('10.0.0.1'));
		view.receiveHeartbeat(member('10.0.0.2', {ready: false}));
		view.receiveHeartbeat(member('10.0.0.3', {leaving: true}));
		assert.deepEqual(view.offered().map(({host}) => host), ['10.0.0.1']);
	});

	it('should not offer an instance whose heartbeats stopped, and offer it again once it is heard', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.receiveHeartbeat(member('10.0.0.1'));
		clock.advance(defaultFleetTiming.suspectAfterMs + 1);
		assert.deepEqual(view.offered(), []);
		assert.equal(view.receiveHeartbeat(member('10.0.0.1')), 'appeared');
		assert.equal(view.offered().length, 1);
	});

	it('should suspect an instance that is no longer heard until it is removed, unless it was leaving or not ready', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.receiveHeartbeat(member('10.0.0.1'));
		view.receiveHeartbeat(member('10.0.0.2', {leaving: true}));
		view.receiveHeartbeat(member('10.0.0.3', {ready: false}));
		assert.deepEqual(view.suspected(), []);
		clock.advance(defaultFleetTiming.suspectAfterMs + 1);
		assert.deepEqual(view.suspected().map(({host}) => host), ['10.0.0.1']);
		clock.advance(defaultFleetTiming.removeAfterMs);
		view.sweep();
		assert.deepEqual(view.suspected(), []);
	});

	it('should replace the previous process by a new one at the same address', () => {
		const view = new FleetView(new ManualClock());
		view.receiveHeartbeat(member('10.0.0.1'));
		assert.equal(view.receiveHeartbeat(member('10.0.0.1')), 'nothing');
		assert.equal(view.receiveHeartbeat(member('10.0.0.1', {incarnation: 'second-life' as IncarnationId})), 'appeared');
		assert.equal(view.live().length, 1);
	});

	it('should keep the greatest observed size, so that a partition never enlarges a share', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		for (const host of ['10.0.0.1', '10.0.0.2', '10.0.0.3']) {
			view.receiveHeartbeat(member(host));
		}

		clock.advance(60_000);
		view.sweep();
		assert.equal(view.live().length, 0);
		assert.equal(view.size.greatest, 4);
	});

	it('should send heartbeats to candidates until nothing was heard from them for too long', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.addCandidates(['10.0.0.9']);
		assert.deepEqual(view.targets(), ['10.0.0.9']);
		clock.advance(defaultFleetTiming.removeAfterMs + 1);
		assert.deepEqual(view.sweep(), ['10.0.0.9']);
		assert.deepEqual(view.targets(), []);
	});

	describe('members that send heartbeats only when asked', () => {
		it('should count as alive until they are declared lost, and be asked', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.receiveHeartbeat(member('10.0.0.1'), false);
			clock.advance(60_000);
			assert.deepEqual(view.sweep(), []);
			assert.equal(view.offered().length, 1);
			assert.deepEqual(view.unconfirmedHosts(), ['10.0.0.1']);
		});

		it('should not be offered once they are declared lost, and return once they are heard', () => {
			const view = new FleetView(new ManualClock());
			view.receiveHeartbeat(member('10.0.0.1'), false);
			assert.equal(view.markLost('10.0.0.1')?.host, '10.0.0.1');
			assert.equal(view.markLost('10.0.0.1'), undefined);
			assert.deepEqual(view.offered(), []);
			assert.equal(view.receiveHeartbeat(member('10.0.0.1'), false), 'returned');
			assert.equal(view.offered().length, 1);
		});

		it('should be removed after they were lost too long', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.receiveHeartbeat(member('10.0.0.1'), false);
			clock.advance(60_000);
			view.markLost('10.0.0.1');
			assert.deepEqual(view.sweep(), []);
			clock.advance(defaultFleetTiming.removeAfterMs + 1);
			assert.deepEqual(view.sweep(), ['10.0.0.1']);
		});

		it('should count as lost if another instance reports it, unless they were heard just now or are another process', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.receiveHeartbeat(member('10.0.0.1'), false);
			const lost = {...view.updateOf('10.0.0.1')!, isLost: true};
			assert.deepEqual(view.receiveUpdates([lost]), []);
			clock.advance(defaultFleetTiming.heartbeatMs);
			assert.deepEqual(view.receiveUpdates([{...lost, incarnation: 'another-life' as IncarnationId}]), []);
			assert.deepEqual(view.receiveUpdates([lost]), [lost]);
			assert.deepEqual(view.offered(), []);
		});

		it('should return through other instances once they have refuted that they are lost', () => {
			const view = new FleetView(new ManualClock());
			view.receiveHeartbeat(member('10.0.0.1'), false);
			view.markLost('10.0.0.1');
			const alive = {...view.updateOf('10.0.0.1')!, isLost: false};
			assert.deepEqual(view.receiveUpdates([alive]), []);
			assert.equal(view.receiveUpdates([{...alive, revision: 1}]).length, 1);
			assert.equal(view.offered().length, 1);
		});

		it('should be known through other instances with the reported state, and not be replaced by an earlier process', () => {
			const view = new FleetView(new ManualClock());
			const first = new FleetView(new ManualClock());
			first.receiveHeartbeat(member('10.0.0.1', {incarnation: 'a' as IncarnationId, ready: false}), false);
			assert.equal(view.receiveUpdates(first.updates()).length, 1);
			assert.deepEqual(view.offered(), []);
			first.receiveHeartbeat(member('10.0.0.1', {incarnation: 'b' as IncarnationId}), false);
			view.receiveUpdates(first.updates());
			assert.equal(view.offered().length, 1);
			assert.deepEqual(view.receiveUpdates([{...first.updates()[0]!, incarnation: 'a' as IncarnationId, revision: 7}]), []);
		});
	});

	describe('digest', () => {
		const self = {host: '10.0.0.9', incarnation: 'own' as IncarnationId, revision: 0};

		it('should be equal on instances that consider the same processes alive', () => {
			const clock = new ManualClock();
			const [left, right] = [new FleetView(clock), new FleetView(clock)];
			left.receiveHeartbeat(member('10.0.0.1'), false);
			left.receiveHeartbeat(member('10.0.0.2'), false);
			right.receiveHeartbeat(member('10.0.0.2'), false);
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			right.receiveUpdates(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
			left.markLost('10.0.0.1');
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			clock.advance(defaultFleetTiming.heartbeatMs);
			right.receiveUpdates(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
		});

		it('should differ if a member\'s latest state was missed', () => {
			const [left, right] = [new FleetView(new ManualClock()), new FleetView(new ManualClock())];
			left.receiveHeartbeat(member('10.0.0.1', {revision: 2}), false);
			right.receiveHeartbeat(member('10.0.0.1', {revision: 1, ready: false}), false);
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			right.receiveUpdates(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
			assert.equal(right.offered().length, 1);
		});

		it('should include the own process like any other', () => {
			const clock = new ManualClock();
			const [left, right] = [new FleetView(clock), new FleetView(clock)];
			left.receiveHeartbeat(member('10.0.0.1'), false);
			right.receiveHeartbeat(member('10.0.0.9', {incarnation: self.incarnation}), false);
			assert.equal(left.digestWith(self), right.digestWith(member('10.0.0.1')));
		});
	});

	it('should ask a member that sends heartbeats only once they stop', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.receiveHeartbeat(member('10.0.0.1'));
		clock.advance(defaultFleetTiming.heartbeatMs);
		assert.deepEqual(view.unconfirmedHosts(), []);
		clock.advance(defaultFleetTiming.heartbeatMs);
		assert.deepEqual(view.unconfirmedHosts(), ['10.0.0.1']);
	});

	it('should report whether any other instance is heard', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.receiveHeartbeat(member('10.0.0.1'), false);
		assert.equal(view.hasHeardOthersRecently, true);
		clock.advance(defaultFleetTiming.suspectAfterMs + 1);
		assert.equal(view.hasHeardOthersRecently, false);
	});
});
