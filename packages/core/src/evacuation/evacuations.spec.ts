import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {AvailabilityZoneId} from '../model/ids.js';
import {Evacuations, type EvacuationRecord} from './evacuations.js';

const nasr = 'nasr' as AvailabilityZoneId;
const giza = 'giza' as AvailabilityZoneId;

function order(offset: number, zone: AvailabilityZoneId, isOrdered = true): EvacuationRecord {
	return {offset, zone, isOrdered};
}

describe('Evacuations', () => {
	describe('orders of the store', () => {
		it('should evacuate a zone, restore it, and evacuate it again', () => {
			const evacuations = new Evacuations();
			assert.deepEqual(evacuations.applyRecords([order(4, nasr)]), [{type: 'emptied', zone: nasr}]);
			assert.deepEqual(evacuations.applyRecords([order(5, nasr, false)]), [{type: 'restored', zone: nasr}]);
			evacuations.applyRecords([order(6, nasr), order(7, giza)]);
			assert.deepEqual([evacuations.isEmptied(nasr), evacuations.isEmptied(giza)], [true, true]);
		});

		it('should be cancelled if a newer snapshot no longer contains them', () => {
			const evacuations = new Evacuations();
			evacuations.applyRecords([order(4, nasr), order(5, giza)]);
			assert.deepEqual(evacuations.replaceOrders(9, [giza]), [{type: 'restored', zone: nasr}]);
			assert.deepEqual(evacuations.orders, {revision: 9, zones: [giza], cancelled: []});
		});

		it('should not be cancelled by older snapshots or records', () => {
			const evacuations = new Evacuations();
			evacuations.applyRecords([order(4, nasr)]);
			assert.deepEqual(evacuations.replaceOrders(4, []), []);
			assert.deepEqual(evacuations.applyRecords([order(3, nasr, false)]), []);
			assert.equal(evacuations.isEmptied(nasr), true);
		});

		it('should advance their revision without an event if a snapshot or a read without orders confirms them', () => {
			const evacuations = new Evacuations();
			evacuations.applyRecords([order(4, nasr)]);
			assert.deepEqual(evacuations.replaceOrders(20, [nasr]), []);
			assert.equal(evacuations.orders.revision, 20);
			evacuations.advanceTo(23);
			evacuations.advanceTo(22);
			assert.equal(evacuations.orders.revision, 23);
			assert.equal(evacuations.isEmptied(nasr), true);
		});

		it('should not come back from an instance that has missed their cancellation, and end there', () => {
			const stale = new Evacuations();
			stale.applyRecords([order(4, nasr)]);
			const started = new Evacuations();
			started.replaceOrders(6, []);
			assert.deepEqual(started.adopt(stale.orders), []);
			assert.deepEqual(stale.adopt(started.orders), [{type: 'restored', zone: nasr}]);
		});
	});

	describe('a restore of the store from an older copy', () => {
		function restartedState(): Evacuations {
			const evacuations = new Evacuations();
			evacuations.applyRecords([order(40, nasr)]);
			evacuations.resetRevision();
			return evacuations;
		}

		it('should keep a zone evacuated whose order the copy lacks, until it is released', () => {
			const evacuations = restartedState();
			assert.deepEqual(evacuations.replaceOrders(30, []), []);
			assert.equal(evacuations.isEmptied(nasr), true);
			assert.deepEqual(evacuations.releaseRetained(), [{type: 'restored', zone: nasr}]);
		});

		it('should keep it evacuated after the release if it is ordered again, and end it when that order is cancelled', () => {
			const evacuations = restartedState();
			evacuations.replaceOrders(30, []);
			assert.deepEqual(evacuations.applyRecords([order(30, nasr)]), []);
			assert.deepEqual(evacuations.releaseRetained(), []);
			assert.deepEqual(evacuations.applyRecords([order(31, nasr, false)]), [{type: 'restored', zone: nasr}]);
		});

		it('should end it at once if the order is cancelled again', () => {
			const evacuations = restartedState();
			assert.deepEqual(evacuations.applyRecords([order(12, nasr, false)]), [{type: 'restored', zone: nasr}]);
		});

		it('should pass on an order that the copy contains, even if nothing changed on this instance', () => {
			const evacuations = restartedState();
			evacuations.replaceOrders(30, [nasr]);
			const other = new Evacuations();
			assert.deepEqual(other.adopt(evacuations.orders), [{type: 'emptied', zone: nasr}]);
		});

		it('should end it on an instance that receives the cancellation from another one', () => {
			const [follower, other] = [restartedState(), restartedState()];
			follower.applyRecords([order(12, nasr, false)]);
			assert.deepEqual(other.adopt(follower.orders), [{type: 'restored', zone: nasr}]);
		});

		it('should end it by a cancellation that only an instance with a smaller revision has seen', () => {
			const [follower, reader, other] = [restartedState(), restartedState(), restartedState()];
			follower.applyRecords([order(12, nasr, false)]);
			reader.replaceOrders(30, []);
			other.adopt(reader.orders);
			assert.deepEqual(other.adopt(follower.orders), [{type: 'restored', zone: nasr}]);
			assert.equal(other.orders.revision, 30);
			assert.deepEqual(reader.adopt(other.orders), [{type: 'restored', zone: nasr}]);
		});

		it('should keep an order that was written after a cancellation', () => {
			const [first, second] = [restartedState(), restartedState()];
			first.applyRecords([order(12, nasr, false)]);
			second.applyRecords([order(12, nasr, false), order(13, nasr)]);
			assert.deepEqual(second.adopt(first.orders), []);
			assert.deepEqual(first.adopt(second.orders), [{type: 'emptied', zone: nasr}]);
			assert.deepEqual(first.orders, {revision: 14, zones: [nasr], cancelled: []});
		});

		it('should follow an order for another zone at a smaller position than before', () => {
			const evacuations = restartedState();
			assert.deepEqual(evacuations.applyRecords([order(30, giza)]), [{type: 'emptied', zone: giza}]);
		});
	});

	it('should arrive at the store\'s last orders on every instance, in whatever order they are read or exchanged', () => {
		const orders = fc.array(fc.record({zone: fc.constantFrom(nasr, giza), isOrdered: fc.boolean()}), {minLength: 1, maxLength: 8});
		const step = fc.record({
			instance: fc.nat(2), from: fc.nat(2), action: fc.constantFrom('follow', 'replace', 'tell'), at: fc.nat(8),
		});
		fc.assert(fc.property(orders, fc.array(step, {maxLength: 30}), (written, steps) => {
			const records = written.map(({zone, isOrdered}, offset) => order(offset, zone, isOrdered));
			const zonesOrderedBefore = (end: number) => {
				const zones = new Map(records.slice(0, end).map(({zone, isOrdered}) => [zone, isOrdered]));
				return [...zones].filter(([, isOrdered]) => isOrdered).map(([zone]) => zone);
			};

			const instances = Array.from({length: 3}, () => ({evacuations: new Evacuations(), readThrough: 0}));
			for (const {instance, from, action, at} of steps) {
				const reader = instances[instance]!;
				const end = Math.min(at, records.length);
				if (action === 'tell') {
					reader.evacuations.adopt(instances[from]!.evacuations.orders);
				} else if (action === 'replace') {
					reader.evacuations.replaceOrders(end, zonesOrderedBefore(end));
					reader.readThrough = Math.max(reader.readThrough, end);
				} else {
					reader.evacuations.applyRecords(records.slice(reader.readThrough, end));
					reader.readThrough = Math.max(reader.readThrough, end);
				}

				// The orders in force always equal those that the store held at the revision they carry.
				const {revision, zones} = reader.evacuations.orders;
				assert.deepEqual(new Set(zones), new Set(zonesOrderedBefore(revision)));
			}

			const last = new Evacuations();
			last.applyRecords(records);
			for (const {evacuations} of instances) {
				evacuations.adopt(last.orders);
				assert.deepEqual(new Set(evacuations.orders.zones), new Set(zonesOrderedBefore(records.length)));
			}
		}), {seed: 3, numRuns: 2000});
	});
});
