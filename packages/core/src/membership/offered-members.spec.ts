import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {instanceListSchema} from './listed-instance.js';
import {memberEntrySchema, type MemberState} from './member-entry.js';
import {MemberTable} from './member-table.js';
import {membershipTimingSchema} from './membership-timing.js';
import {LeavingAddresses, offeredMembers} from './offered-members.js';

function entry(name: string, port: number, state: MemberState = 'live') {
	return memberEntrySchema.parse({
		instance: name,
		incarnation: name,
		heartbeat: 1,
		state,
		callerAddress: `10.0.0.1:${port}`,
		peerAddress: `10.0.0.1:${port + 1000}`,
		availabilityZone: 'nasr',
		configurationOffset: 1,
		configurationHash: '',
		callsPerSecond: 0,
	});
}

function listOf(leavingPorts: readonly number[]) {
	return instanceListSchema.parse({
		instances: leavingPorts.map(port => ({
			id: `listed-${port}`, role: 'entry', address: `10.0.0.1:${port}`, availabilityZone: 'nasr', state: 'leaving',
		})),
	}).instances;
}

function offered(table: MemberTable, listed: LeavingAddresses): string[] {
	return offeredMembers(table, listed).map(({instance}) => instance).sort();
}

describe('offered members', () => {
	it('should offer this instance and other live ones, not starting or leaving ones', () => {
		const table = new MemberTable({self: entry('own', 1), clock: new ManualClock(), timing: membershipTimingSchema.parse({})});
		table.mergeEntry(entry('live', 2));
		table.mergeEntry(entry('starting', 3, 'starting'));
		table.mergeEntry(entry('leaving', 4, 'leaving'));
		assert.deepEqual(offered(table, new LeavingAddresses()), ['live', 'own']);
		table.updateSelf({state: 'leaving'});
		assert.deepEqual(offered(table, new LeavingAddresses()), ['live']);
	});

	it('should apply the list to processes known before it, not to their successors', () => {
		const clock = new ManualClock();
		const table = new MemberTable({self: entry('own', 1), clock, timing: membershipTimingSchema.parse({})});
		const listed = new LeavingAddresses();
		table.mergeEntry(entry('before', 2));
		clock.advance(10);
		listed.update(listOf([2, 3]), clock.monotonicMs());
		clock.advance(10);
		table.mergeEntry(entry('after', 3));
		listed.update(listOf([2, 3]), clock.monotonicMs());
		assert.deepEqual(offered(table, listed), ['after', 'own']);
	});

	it('should ignore a list that would exclude all members', () => {
		const clock = new ManualClock();
		const table = new MemberTable({self: entry('own', 1), clock, timing: membershipTimingSchema.parse({})});
		const listed = new LeavingAddresses();
		clock.advance(10);
		listed.update(listOf([1]), clock.monotonicMs());
		assert.deepEqual(offered(table, listed), ['own']);
	});
});
