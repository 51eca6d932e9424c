import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../model/manual-clock.js';
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '../model/ids.js';
import type {KeyedChange} from './keyed-change.js';
import type {RegisteredUpstream} from './registered-upstream.js';
import {lapseGraceMs, UpstreamRegistry, type RemovalTrust} from './upstream-registry.js';

const sound: RemovalTrust = {type: 'sound'};

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
	};
}

function record(offset: number, id: string, value: RegisteredUpstream | undefined): KeyedChange<RegisteredUpstream> {
	return {offset, key: id, value};
}

function toRecord({id, kind}: {id: string; kind: string}, offset: number): KeyedChange<RegisteredUpstream> {
	return record(offset, id, kind === 'removed' ? undefined : upstream(id, kind === 'draining'));
}

function ids(registry: UpstreamRegistry): string[] {
	return registry.entries().map(entry => entry.upstream.id).sort();
}

describe('UpstreamRegistry', () => {
	describe('folding records', () => {
		it('should say what joined, began to leave and left', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.replace({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			const events = registry.follow({
				fromOffset: 1,
				endOffset: 4,
				records: [record(1, 'b', upstream('b')), record(2, 'a', upstream('a', true)), record(3, 'a', undefined)],
			}, sound);
			assert.deepEqual(events?.map(event => [event.type, event.upstream.id]), [['joined', 'b'], ['draining', 'a'], ['gone', 'a']]);
			assert.deepEqual(ids(registry), ['b']);
		});

		it('should ask for a snapshot where records are missing', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.replace({endOffset: 1, records: []}, sound);
			assert.equal(registry.follow({fromOffset: 2, endOffset: 3, records: []}, sound), undefined);
		});

		it('should ignore a snapshot that is older than what it knows', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.replace({endOffset: 5, records: [record(4, 'a', upstream('a'))]}, sound);
			assert.deepEqual(registry.replace({endOffset: 4, records: []}, sound), []);
			assert.deepEqual(ids(registry), ['a']);
		});

		it('should keep an upstream draining once it was', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.replace({endOffset: 1, records: [record(0, 'a', upstream('a', true))]}, sound);
			registry.follow({fromOffset: 1, endOffset: 2, records: [record(1, 'a', upstream('a'))]}, sound);
			assert.equal(registry.get('a' as UpstreamId)?.draining, true);
		});
	});

	describe('entries that vanish around an outage of the store', () => {
		it('should be kept until the time of grace after its return is over', () => {
			const clock = new ManualClock();
			const registry = new UpstreamRegistry(clock);
			registry.replace({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			const events = registry.replace({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(events.map(({type}) => type), ['lapsed']);
			clock.advance(lapseGraceMs - 1);
			assert.deepEqual(registry.sweep(), []);
			clock.advance(1);
			assert.deepEqual(registry.sweep().map(({type}) => type), ['gone']);
		});

		it('should stay where they come back in time', () => {
			const clock = new ManualClock();
			const registry = new UpstreamRegistry(clock);
			registry.replace({endOffset: 1, records: [record(0, 'a', upstream('a'))]}, sound);
			registry.replace({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			registry.follow({fromOffset: 2, endOffset: 3, records: [record(2, 'a', upstream('a'))]}, sound);
			clock.advance(lapseGraceMs * 2);
			assert.deepEqual(registry.sweep(), []);
			assert.deepEqual(ids(registry), ['a']);
		});

		it('should be gone at once where they had announced to leave', () => {
			const registry = new UpstreamRegistry(new ManualClock());
			registry.replace({endOffset: 1, records: [record(0, 'a', upstream('a', true))]}, sound);
			const events = registry.replace({endOffset: 2, records: []}, {type: 'after-outage', returnedAtMs: 0});
			assert.deepEqual(events.map(({type}) => type), ['gone']);
		});
	});

	describe('comparing two instances', () => {
		it('should have equal digests after the same records, whatever pages they came in', () => {
			const change = fc.record({id: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom('ready', 'draining', 'removed')});
			fc.assert(fc.property(fc.array(change, {maxLength: 20}), fc.integer({min: 1, max: 7}), (changes, pageSize) => {
				const records = changes.map((change, offset) => toRecord(change, offset));
				const whole = new UpstreamRegistry(new ManualClock());
				whole.replace({endOffset: 0, records: []}, sound);
				whole.follow({fromOffset: 0, endOffset: records.length, records}, sound);
				const paged = new UpstreamRegistry(new ManualClock());
				paged.replace({endOffset: 0, records: []}, sound);
				for (let from = 0; from < records.length; from += pageSize) {
					const page = records.slice(from, from + pageSize);
					paged.follow({fromOffset: from, endOffset: from + page.length, records: page}, sound);
				}

				assert.equal(paged.digest, whole.digest);
				assert.equal(paged.endOffset, whole.endOffset);
			}), {seed: 7});
		});
	});
});
