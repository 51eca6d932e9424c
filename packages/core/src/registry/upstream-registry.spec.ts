import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';
import type {KeyedChange} from './keyed-change.js';
import type {RegisteredUpstream} from './registered-upstream.js';
import {lapseGraceMs, UpstreamRegistry, type RemovalConfidence} from './upstream-registry.js';

const sound: RemovalConfidence = {type: 'sound'};

function upstream(id: string, draining = false): RegisteredUpstream {
	return {
		id: id as UpstreamId,
		service: 'ledger' as ServiceId,
		host: '10.0.0.1',
		port: 8080,
		availabilityZone: 'nasr' as AvailabilityZoneId,
		slots: 4,
		draining,
		warmupMs: 0,
		startedAtMs: 0,
		sequence: 1,
	};
}

function record(offset: number, id: string, value: RegisteredUpstream | undefined): KeyedChange<RegisteredUpstream> {
	return {offset, key: id, value};
}

function toRecord({id, kind}: {id: string; kind: string}, offset: number): KeyedChange<RegisteredUpstream> {
	return record(offset, id, kind === 'removed' ? undefined : upstream(id, kind === 'draining'));
}

/** Gives each record a start time of its own, so that a later one may be ready again. */
function toRecords(operations: ReadonlyArray<{id: string; kind: string}>, fromOffset: number): ReadonlyArray<KeyedChange<RegisteredUpstream>> {
	return operations.map((operation, index) => {
		const change = toRecord(operation, fromOffset + index);
		return change.value === undefined ? change : {...change, value: {...change.value, startedAtMs: change.offset + 1}};
	});
}

function newestOf(log: ReadonlyArray<KeyedChange<RegisteredUpstream>>): ReadonlyArray<KeyedChange<RegisteredUpstream>> {
	const newest = new Map(log.map(change => [change.key, change]));
	return [...newest.values()].filter(({value}) => value !== undefined);
}

function ids(registry: UpstreamRegistry): string[] {
	return registry.entries().map(entry => entry.upstream.id).sort();
}

describe('UpstreamRegistry', () => {
	describe('applying records', () => {
		it('should report upstreams that joined, began to drain and left', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			const events = registry.applyChanges({
				fromOffset: 1,
				endOffset: 4,
				records: [record(1, 'b', upstream('b')), record(2, 'a', upstream('a', true)), record(3, 'a', undefined)],
			}, sound);
			assert.deepEqual(events?.map(event => [event.type, event.upstream.id]), [['joined', 'b'], ['draining', 'a'], ['gone', 'a']]);
			assert.deepEqual(ids(registry), ['b']);
		});

		it('should require a snapshot if records are missing', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: []}, sound);
			assert.equal(registry.applyChanges({fromOffset: 2, endOffset: 3, records: []}, sound), undefined);
		});

		it('should ignore a snapshot that is older than its state', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 5, records: [record(4, 'a', upstream('a'))]}, sound);
			assert.deepEqual(registry.applySnapshot({endOffset: 4, records: []}, sound), []);
			assert.deepEqual(ids(registry), ['a']);
		});

		it('should keep an upstream draining once it is', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a', true))]}, sound);
			registry.applyChanges({fromOffset: 1, endOffset: 2, records: [record(1, 'a', upstream('a'))]}, sound);
			assert.equal(registry.get('a' as UpstreamId)?.draining, true);
		});
	});

	describe('entries that disappear around an outage of the store', () => {
		it('should be kept until the grace period after its return is over', () => {
			const clock = new ManualClock();
			const registry = new UpstreamRegistry(clock);
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			const events = registry.applySnapshot({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(events.map(({type}) => type), ['lapsed']);
			clock.advance(lapseGraceMs - 1);
			assert.deepEqual(registry.sweep(), []);
			clock.advance(1);
			assert.deepEqual(registry.sweep().map(({type}) => type), ['gone']);
		});

		it('should stay if they return in time', () => {
			const clock = new ManualClock();
			const registry = new UpstreamRegistry(clock);
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			registry.applySnapshot({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			registry.applyChanges({fromOffset: 2, endOffset: 3, records: [record(2, 'a', upstream('a'))]}, sound);
			clock.advance(lapseGraceMs * 2);
			assert.deepEqual(registry.sweep(), []);
			assert.deepEqual(ids(registry), ['a']);
		});

		it('should be gone at once if the upstream was draining', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a', true))]}, sound);
			const events = registry.applySnapshot({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(events.map(({type}) => type), ['gone']);
		});
	});

	describe('a restore of the store from an older copy', () => {
		const afterRestore: RemovalConfidence = {type: 'after-outage', returnedAtMs: 0};

		function restarted(clock: ManualClock, ...known: readonly RegisteredUpstream[]): UpstreamRegistry {
			const registry = new UpstreamRegistry(clock);
			registry.applySnapshot({endOffset: 40, records: known.map((value, index) => record(30 + index, value.id, value))}, sound);
			registry.resetOffsets();
			return registry;
		}

		it('should keep the upstreams in service until the copy is read, which may end at a lower offset', () => {
			const registry = restarted(new ManualClock(), upstream('a'));
			assert.deepEqual([registry.hasSnapshot, registry.endOffset, ids(registry)], [true, -1, ['a']]);
			registry.applySnapshot({endOffset: 12, records: [record(3, 'a', upstream('a')), record(7, 'b', upstream('b'))]}, afterRestore);
			assert.deepEqual([registry.endOffset, ids(registry)], [12, ['a', 'b']]);
		});

		it('should not make a draining upstream ready again', () => {
			const registry = restarted(new ManualClock(), {...upstream('a', true), sequence: 5});
			registry.applySnapshot({endOffset: 12, records: [record(3, 'a', {...upstream('a'), sequence: 4})]}, afterRestore);
			assert.equal(registry.get('a' as UpstreamId)?.draining, true);
		});

		it('should not bring back an upstream that was gone', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 4, records: [record(3, 'a', upstream('a'))]}, sound);
			registry.applyChanges({fromOffset: 4, endOffset: 5, records: [record(4, 'a', undefined)]}, sound);
			registry.resetOffsets();
			registry.applySnapshot({endOffset: 4, records: [record(3, 'a', upstream('a'))]}, afterRestore);
			assert.deepEqual(ids(registry), []);
		});

		it('should keep an upstream that the copy lacks until it is written again or its grace period is over', () => {
			const clock = new ManualClock();
			const registry = restarted(clock, upstream('a'), upstream('b'));
			registry.applySnapshot({endOffset: 2, records: []}, afterRestore);
			assert.deepEqual(ids(registry), ['a', 'b']);
			registry.applyChanges({fromOffset: 2, endOffset: 3, records: [record(2, 'a', {...upstream('a'), sequence: 2})]}, afterRestore);
			clock.advance(lapseGraceMs);
			assert.deepEqual(registry.sweep().map(event => [event.type, event.upstream.id]), [['gone', 'b']]);
			assert.deepEqual(ids(registry), ['a']);
		});

		it('should not hand over changes since an offset of the earlier epoch', () => {
			const registry = restarted(new ManualClock(), upstream('a'));
			registry.applySnapshot({endOffset: 12, records: [record(3, 'a', upstream('a'))]}, afterRestore);
			assert.equal(registry.changesSince(5), undefined);
			registry.applyChanges({fromOffset: 12, endOffset: 13, records: [record(12, 'c', upstream('c'))]}, sound);
			assert.deepEqual(registry.changesSince(12)?.records.map(({key}) => key), ['c']);
		});
	});

	describe('changes instead of the whole state', () => {
		it('should lead another instance to the same upstreams, or be unavailable if a removal is not known', () => {
			const operation = fc.record({id: fc.constantFrom('a', 'b', 'c', 'd'), kind: fc.constantFrom('ready', 'draining', 'removed')});
			const step = fc.record({operations: fc.array(operation, {maxLength: 4}), method: fc.constantFrom('follow', 'replace'), sends: fc.boolean()});
			fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
				const [sender, receiver] = [new UpstreamRegistry(new ManualClock()), new UpstreamRegistry(new ManualClock())];
				const log: Array<KeyedChange<RegisteredUpstream>> = [];
				sender.applySnapshot({endOffset: 0, records: []}, sound);
				receiver.applySnapshot({endOffset: 0, records: []}, sound);
				for (const {operations, method, sends} of steps) {
					const fromOffset = sender.endOffset;
					log.push(...toRecords(operations, log.length));
					if (method === 'replace') {
						sender.applySnapshot({endOffset: log.length, records: newestOf(log)}, sound);
					} else {
						sender.applyChanges({fromOffset, endOffset: log.length, records: log.slice(fromOffset)}, sound);
					}

					const changes = sends ? sender.changesSince(receiver.endOffset) : undefined;
					if (changes !== undefined) {
						receiver.applyChanges(changes, sound);
						assert.deepEqual([ids(receiver), receiver.digest, receiver.endOffset], [ids(sender), sender.digest, sender.endOffset]);
					}
				}
			}), {seed: 9, numRuns: 1000});
		});

		it('should contain only what has changed', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 2, records: [record(0, 'a', upstream('a')), record(1, 'b', upstream('b'))]}, sound);
			registry.applyChanges({fromOffset: 2, endOffset: 4, records: [record(2, 'c', upstream('c')), record(3, 'a', undefined)]}, sound);
			const changes = registry.changesSince(2);
			assert.deepEqual(changes?.records.map(({key, value}) => [key, value?.id]), [['c', 'c'], ['a', undefined]]);
			assert.equal(registry.changesSince(1), undefined);
		});
	});

	describe('an upstream that starts again under its id', () => {
		const started = (startedAtMs: number, sequence: number, draining = false) => ({...upstream('a', draining), startedAtMs, sequence});
		const follow = (registry: UpstreamRegistry, value: RegisteredUpstream | undefined) => {
			const offset = registry.endOffset;
			return registry.applyChanges({fromOffset: offset, endOffset: offset + 1, records: [record(offset, 'a', value)]}, sound)?.map(({type}) => type);
		};

		const withDrainingStart = () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', started(1000, 40, true))]}, sound);
			return registry;
		};

		it('should replace the earlier one and what it announced', () => {
			const registry = withDrainingStart();
			const before = registry.digest;
			assert.deepEqual(follow(registry, started(2000, 1)), ['gone', 'joined']);
			assert.equal(registry.get('a' as UpstreamId)?.draining, false);
			assert.notEqual(registry.digest, before);
		});

		it('should not return to the earlier start because of an entry that arrives late', () => {
			const registry = withDrainingStart();
			follow(registry, started(2000, 1));
			assert.deepEqual(follow(registry, started(1000, 41)), []);
			assert.equal(registry.get('a' as UpstreamId)?.startedAtMs, 2000);
			follow(registry, undefined);
			assert.deepEqual(follow(registry, started(1000, 42)), []);
			assert.deepEqual(ids(registry), []);
		});

		it('should join again after a removal although its sequence starts anew', () => {
			const registry = withDrainingStart();
			follow(registry, undefined);
			assert.deepEqual(follow(registry, started(2000, 1)), ['joined']);
		});
	});

	describe('entries that arrive late', () => {
		const at = (sequence: number) => ({...upstream('a'), sequence});
		const changes = (fromOffset: number, value: RegisteredUpstream | undefined) => ({fromOffset, endOffset: fromOffset + 1, records: [record(fromOffset, 'a', value)]});

		it('should not bring back an upstream that has left', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', at(9))]}, sound);
			registry.applyChanges(changes(1, undefined), sound);
			assert.deepEqual(registry.applyChanges(changes(2, at(9)), sound), []);
			assert.deepEqual(registry.applyChanges(changes(3, at(8)), sound), []);
			assert.deepEqual(registry.applyChanges(changes(4, at(10)), sound)?.map(({type}) => type), ['joined']);
		});

		it('should count as new once no late write can be under way, as some upstreams don\'t report their start time', () => {
			const clock = new ManualClock();
			const registry = new UpstreamRegistry(clock);
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', at(9))]}, sound);
			registry.applyChanges(changes(1, undefined), sound);
			clock.advance(30_000);
			assert.deepEqual(registry.applyChanges(changes(2, at(1)), sound)?.map(({type}) => type), ['joined']);
		});
	});

	describe('an entry that cannot be read', () => {
		const unreadable = (offset: number, key: string) => ({...record(offset, key, undefined), fault: 'no address'});

		it('should remove the upstream under its key, and no other', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 2, records: [record(0, 'a', upstream('a')), record(1, 'b', upstream('b'))]}, sound);
			const events = registry.applyChanges({fromOffset: 2, endOffset: 3, records: [unreadable(2, 'a')]}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(events?.map(event => [event.type, event.upstream.id]), [['gone', 'a']]);
			assert.deepEqual(ids(registry), ['b']);
		});

		it('should remove the upstream in a snapshot too, even after an outage', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 2, records: [record(0, 'a', upstream('a')), record(1, 'b', upstream('b'))]}, sound);
			registry.applySnapshot({endOffset: 3, records: [unreadable(2, 'a'), record(1, 'b', upstream('b'))]}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(ids(registry), ['b']);
		});

		it('should be superseded by the next entry of the upstream itself', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.applySnapshot({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			const next = {...upstream('a'), sequence: 2};
			const events = registry.applyChanges({fromOffset: 1, endOffset: 3, records: [unreadable(1, 'a'), record(2, 'a', next)]}, sound);
			assert.deepEqual(events?.map(({type}) => type), ['gone', 'joined']);
		});

		it('should leave every readable entry in force, whatever the order', () => {
			const change = fc.record({id: fc.constantFrom('a', 'b', 'c'), isSound: fc.boolean()});
			fc.assert(fc.property(fc.array(change, {maxLength: 30}), changes => {
				const registry = new UpstreamRegistry(new ManualClock());
				const newest = new Map(changes.map(({id, isSound}) => [id, isSound]));
				const records = changes.map(({id, isSound}, offset) => isSound ? record(offset, id, {...upstream(id), sequence: offset}) : unreadable(offset, id));
				registry.applySnapshot({endOffset: 0, records: []}, sound);
				registry.applyChanges({fromOffset: 0, endOffset: records.length, records}, sound);
				assert.deepEqual(ids(registry), [...newest].filter(([, isSound]) => isSound).map(([id]) => id).sort());
			}), {seed: 3, numRuns: 1000});
		});
	});

	describe('comparing two instances', () => {
		it('should find equal digests after the same records, whatever the pages in which they were read', () => {
			const change = fc.record({id: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom('ready', 'draining', 'removed')});
			fc.assert(fc.property(fc.array(change, {maxLength: 20}), fc.integer({min: 1, max: 7}), (changes, pageSize) => {
				const records = changes.map((change, offset) => toRecord(change, offset));
				const whole = new UpstreamRegistry(new ManualClock());
				whole.applySnapshot({endOffset: 0, records: []}, sound);
				whole.applyChanges({fromOffset: 0, endOffset: records.length, records}, sound);
				const paged = new UpstreamRegistry(new ManualClock());
				paged.applySnapshot({endOffset: 0, records: []}, sound);
				for (let from = 0; from < records.length; from += pageSize) {
					const page = records.slice(from, from + pageSize);
					paged.applyChanges({fromOffset: from, endOffset: from + page.length, records: page}, sound);
				}

				assert.equal(paged.digest, whole.digest);
				assert.equal(paged.endOffset, whole.endOffset);
			}), {seed: 7});
		});
	});
});
