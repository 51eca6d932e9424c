import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import {
	mergeEntries, memberEntrySchema, memberStates, type MemberEntry,
} from './member-entry.js';
import {MemberTable} from './member-table.js';
import type {Member} from './member.js';
import {membershipTimingSchema, suspectAfterMs} from './membership-timing.js';

const timing = membershipTimingSchema.parse({});
const seed = 20_261_202;

function entry(incarnation: string, heartbeat = 1, overrides: Partial<Record<keyof MemberEntry, unknown>> = {}): MemberEntry {
	return memberEntrySchema.parse({
		instance: `entry-${incarnation}`,
		incarnation,
		heartbeat,
		state: 'live',
		callerAddress: `127.0.0.1:${1000 + (incarnation.codePointAt(0) ?? 0)}`,
		peerAddress: `127.0.0.1:${2000 + (incarnation.codePointAt(0) ?? 0)}`,
		availabilityZone: 'nasr',
		configurationOffset: 0,
		configurationHash: '',
		callsPerSecond: 0,
		...overrides,
	});
}

function tableOf(self = 'S') {
	const clock = new ManualClock();
	return {clock, table: new MemberTable({self: entry(self), clock, timing})};
}

function incarnations(members: readonly Member[]): string[] {
	return members.map(({entry: {incarnation}}) => incarnation).sort();
}

type EntryValues = Pick<MemberEntry, 'heartbeat' | 'state'> & {incarnation: string};

function heartbeatsAndStates(values: readonly EntryValues[]): string[] {
	const {table} = tableOf();
	for (const {incarnation, heartbeat, state} of values) {
		table.mergeEntry(entry(incarnation, heartbeat, {state}));
	}

	return table.others().map(member => `${member.entry.incarnation} ${member.entry.heartbeat} ${member.entry.state}`).sort();
}

/** Some items, and each of them twice in another order. */
function shuffledPair<Item>(item: fc.Arbitrary<Item>): fc.Arbitrary<[Item[], Item[]]> {
	return fc.array(item, {minLength: 1, maxLength: 30}).chain(made =>
		fc.tuple(fc.constant(made), fc.shuffledSubarray([...made, ...made], {minLength: made.length * 2})));
}

describe('member table', () => {
	describe('suspicion', () => {
		it('should suspect a member whose heartbeat does not increase', () => {
			const {clock, table} = tableOf();
			table.mergeEntry(entry('a', 5));
			table.mergeEntry(entry('b', 5));
			clock.advance(suspectAfterMs(timing, 3));
			table.mergeEntry(entry('a', 5));
			table.mergeEntry(entry('b', 6));
			clock.advance(1);
			assert.deepEqual(incarnations(table.reachable()), ['b']);
			assert.deepEqual(incarnations(table.suspected()), ['a']);
		});

		it('should suspect a member for some time after a failed exchange, then accept a heartbeat above the margin', () => {
			const {clock, table} = tableOf();
			table.mergeEntry(entry('a', 5));
			assert.deepEqual(table.reportUnreachable(entry('a').incarnation), {incarnation: 'a', heartbeat: 5});
			const refuting = 5 + timing.suspicionMargin + 1;
			table.mergeEntry(entry('a', refuting - 1));
			clock.advance(timing.unreachableHoldMs);
			assert.deepEqual(incarnations(table.reachable()), []);
			table.reportUnreachable(entry('a').incarnation);
			table.mergeEntry(entry('a', refuting + timing.suspicionMargin));
			assert.deepEqual(incarnations(table.reachable()), []);
			clock.advance(timing.unreachableHoldMs);
			assert.deepEqual(incarnations(table.reachable()), ['a']);
		});

		it('should accept a peer\'s suspicion unless a heartbeat above the margin is known', () => {
			const {table} = tableOf();
			const {incarnation} = entry('a');
			const {suspicionMargin} = timing;
			table.mergeEntry(entry('a', 5 + suspicionMargin));
			assert.equal(table.mergeSuspicion({incarnation, heartbeat: 4}), false);
			assert.equal(table.mergeSuspicion({incarnation, heartbeat: 5}), true);
			assert.equal(table.mergeSuspicion({incarnation, heartbeat: 5}), false);
			assert.deepEqual(incarnations(table.reachable()), []);
			table.mergeHeartbeat(incarnation, 6 + suspicionMargin);
			assert.deepEqual(incarnations(table.reachable()), ['a']);
		});

		it('should let a process refute a suspicion at once', () => {
			const {table} = tableOf();
			const other = tableOf('b').table;
			other.mergeEntry(table.self);
			const suspicion = other.reportUnreachable(table.self.incarnation)!;
			table.refute(suspicion.heartbeat);
			other.confirmReachable(table.self);
			assert.deepEqual(incarnations(other.reachable()), ['S']);
		});
	});

	describe('removal', () => {
		it('should add a removed incarnation again only with a later heartbeat', () => {
			const {clock, table} = tableOf();
			table.mergeEntry(entry('a', 5));
			clock.advance(timing.removeAfterMs + 1);
			assert.deepEqual(table.sweep().map(({incarnation}) => incarnation), ['a']);
			assert.equal(table.mergeEntry(entry('a', 5)), false);
			assert.equal(table.size, 1);
			assert.equal(table.mergeEntry(entry('a', 6)), true);
			assert.equal(table.size, 2);
		});
	});

	describe('incarnations at one address', () => {
		const address = {callerAddress: '127.0.0.1:700', peerAddress: '127.0.0.1:800'};

		it('should use the one whose heartbeat increased last', () => {
			const {clock, table} = tableOf();
			table.mergeEntry(entry('old', 900, address));
			clock.advance(10);
			table.mergeEntry(entry('new', 1, address));
			assert.deepEqual(incarnations(table.reachable()), ['new']);
		});

		it('should remove the other once one of them answers an exchange', () => {
			const {clock, table} = tableOf();
			table.mergeEntry(entry('new', 1, address));
			clock.advance(10);
			table.mergeEntry(entry('old', 900, {...address, state: 'leaving'}));
			table.confirmReachable(entry('new', 2, address));
			assert.deepEqual(incarnations(table.others()), ['new']);
			assert.equal(table.mergeEntry(entry('old', 900, address)), false);
		});

		it('should not offer a predecessor at this instance\'s address', () => {
			const {table} = tableOf();
			table.mergeEntry(entry('old', 900, {callerAddress: table.self.callerAddress}));
			assert.deepEqual(table.reachable(), []);
		});
	});

	describe('leaving', () => {
		it('should never go back to live for the same incarnation', () => {
			const {table} = tableOf();
			table.updateSelf({state: 'leaving'});
			table.updateSelf({state: 'live'});
			assert.equal(table.self.state, 'leaving');
			table.mergeEntry(entry('a', 5, {state: 'leaving'}));
			table.mergeEntry(entry('a', 9));
			assert.equal(table.entryOf(entry('a').incarnation)?.state, 'leaving');
			assert.equal(table.entryOf(entry('a').incarnation)?.heartbeat, 9);
		});
	});

	describe('any order and duplication of entries', () => {
		const one = fc.record({
			incarnation: fc.constantFrom('a', 'b', 'c'),
			heartbeat: fc.integer({min: 0, max: 20}),
			state: fc.constantFrom(...memberStates),
		});

		it('should give the same heartbeats and states', () => {
			const property = fc.property(shuffledPair(one), ([made, shuffled]) => {
				assert.deepEqual(heartbeatsAndStates(shuffled), heartbeatsAndStates(made));
			});
			fc.assert(property, {seed, numRuns: 200});
		});

		it('should merge two entries commutatively and idempotently', () => {
			const property = fc.property(one, one, (left, right) => {
				const [a, b] = [entry('a', left.heartbeat, {state: left.state}), entry('a', right.heartbeat, {state: right.state})];
				assert.deepEqual(mergeEntries(a, b), mergeEntries(b, a));
				assert.deepEqual(mergeEntries(a, mergeEntries(a, b)), mergeEntries(a, b));
			});
			fc.assert(property, {seed, numRuns: 200});
		});
	});
});
