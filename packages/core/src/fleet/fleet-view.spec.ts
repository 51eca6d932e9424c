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
		assert.equal(view.heard(member('10.0.0.1')), 'appeared');
		assert.equal(view.offered().length, 1);
	});

	it('should let a new process take the place of the one before at its address', () => {
		const view = new FleetView(new ManualClock());
		view.heard(member('10.0.0.1'));
		assert.equal(view.heard(member('10.0.0.1')), 'nothing');
		assert.equal(view.heard(member('10.0.0.1', {incarnation: 'second-life' as IncarnationId})), 'appeared');
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
		assert.equal(view.size.greatest, 4);
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

	describe('members that send no heartbeats without being asked', () => {
		it('should count as alive while nothing says otherwise, and be asked', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.heard(member('10.0.0.1'), false);
			clock.advance(60_000);
			assert.deepEqual(view.sweep(), []);
			assert.equal(view.offered().length, 1);
			assert.deepEqual(view.unsure(), ['10.0.0.1']);
		});

		it('should be offered no more once they are lost, and return once they are heard', () => {
			const view = new FleetView(new ManualClock());
			view.heard(member('10.0.0.1'), false);
			assert.equal(view.lost('10.0.0.1')?.host, '10.0.0.1');
			assert.equal(view.lost('10.0.0.1'), undefined);
			assert.deepEqual(view.offered(), []);
			assert.equal(view.heard(member('10.0.0.1'), false), 'returned');
			assert.equal(view.offered().length, 1);
		});

		it('should be forgotten once they have been lost for long', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.heard(member('10.0.0.1'), false);
			clock.advance(60_000);
			view.lost('10.0.0.1');
			assert.deepEqual(view.sweep(), []);
			clock.advance(defaultFleetTiming.forgetAfterMs + 1);
			assert.deepEqual(view.sweep(), ['10.0.0.1']);
		});

		it('should be held for lost where another instance says so, but not if they were heard just now or are another process', () => {
			const clock = new ManualClock();
			const view = new FleetView(clock);
			view.heard(member('10.0.0.1'), false);
			const lost = {...view.updateOf('10.0.0.1')!, isLost: true};
			assert.deepEqual(view.receive([lost]), []);
			clock.advance(defaultFleetTiming.heartbeatMs);
			assert.deepEqual(view.receive([{...lost, incarnation: 'another-life' as IncarnationId}]), []);
			assert.deepEqual(view.receive([lost]), [lost]);
			assert.deepEqual(view.offered(), []);
		});

		it('should return through others once they have contradicted that they are lost', () => {
			const view = new FleetView(new ManualClock());
			view.heard(member('10.0.0.1'), false);
			view.lost('10.0.0.1');
			const alive = {...view.updateOf('10.0.0.1')!, isLost: false};
			assert.deepEqual(view.receive([alive]), []);
			assert.equal(view.receive([{...alive, revision: 1}]).length, 1);
			assert.equal(view.offered().length, 1);
		});

		it('should be known through others, as they say, and not be replaced by an earlier process', () => {
			const view = new FleetView(new ManualClock());
			const first = new FleetView(new ManualClock());
			first.heard(member('10.0.0.1', {incarnation: 'a' as IncarnationId, ready: false}), false);
			assert.equal(view.receive(first.updates()).length, 1);
			assert.deepEqual(view.offered(), []);
			first.heard(member('10.0.0.1', {incarnation: 'b' as IncarnationId}), false);
			view.receive(first.updates());
			assert.equal(view.offered().length, 1);
			assert.deepEqual(view.receive([{...first.updates()[0]!, incarnation: 'a' as IncarnationId, revision: 7}]), []);
		});
	});

	describe('digest', () => {
		const self = {host: '10.0.0.9', incarnation: 'own' as IncarnationId, revision: 0};

		it('should be the same at all that hold the same processes for alive', () => {
			const clock = new ManualClock();
			const [left, right] = [new FleetView(clock), new FleetView(clock)];
			left.heard(member('10.0.0.1'), false);
			left.heard(member('10.0.0.2'), false);
			right.heard(member('10.0.0.2'), false);
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			right.receive(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
			left.lost('10.0.0.1');
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			clock.advance(defaultFleetTiming.heartbeatMs);
			right.receive(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
		});

		it('should differ where a member\'s last word has been missed', () => {
			const [left, right] = [new FleetView(new ManualClock()), new FleetView(new ManualClock())];
			left.heard(member('10.0.0.1', {revision: 2}), false);
			right.heard(member('10.0.0.1', {revision: 1, ready: false}), false);
			assert.notEqual(left.digestWith(self), right.digestWith(self));
			right.receive(left.updates());
			assert.equal(left.digestWith(self), right.digestWith(self));
			assert.equal(right.offered().length, 1);
		});

		it('should count the own process like any other', () => {
			const clock = new ManualClock();
			const [left, right] = [new FleetView(clock), new FleetView(clock)];
			left.heard(member('10.0.0.1'), false);
			right.heard(member('10.0.0.9', {incarnation: self.incarnation}), false);
			assert.equal(left.digestWith(self), right.digestWith(member('10.0.0.1')));
		});
	});

	it('should ask a member that beats only once its heartbeats stay away', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.heard(member('10.0.0.1'));
		clock.advance(defaultFleetTiming.heartbeatMs);
		assert.deepEqual(view.unsure(), []);
		clock.advance(defaultFleetTiming.heartbeatMs);
		assert.deepEqual(view.unsure(), ['10.0.0.1']);
	});

	it('should know whether it hears anyone at all', () => {
		const clock = new ManualClock();
		const view = new FleetView(clock);
		view.heard(member('10.0.0.1'), false);
		assert.equal(view.hearsOthers, true);
		clock.advance(defaultFleetTiming.suspectAfterMs + 1);
		assert.equal(view.hearsOthers, false);
	});
});
