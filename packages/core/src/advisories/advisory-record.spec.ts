import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock} from '../model/manual-clock.js';
import {AdvisoryRecord, maximumBackOffMs} from './advisory-record.js';

function createRecord(): {readonly clock: ManualClock; readonly record: AdvisoryRecord} {
	const clock = new ManualClock();
	return {clock, record: new AdvisoryRecord(clock)};
}

describe('AdvisoryRecord', () => {
	it('should report an upstream without advisories as available', () => {
		const {record} = createRecord();
		assert.deepEqual(record.availability, {type: 'available'});
	});

	describe('of a leaving upstream', () => {
		it('should report it as leaving however much time passes, and report the change once', () => {
			const {clock, record} = createRecord();
			assert.equal(record.update({type: 'leaving'}), true);
			assert.equal(record.update({type: 'leaving'}), false);
			clock.advance(3_600_000);
			assert.deepEqual(record.availability, {type: 'leaving'});
		});

		it('should not report it as available again when a back-off ends', () => {
			const {clock, record} = createRecord();
			record.update({type: 'back-off', durationMs: 100});
			record.update({type: 'leaving'});
			clock.advance(200);
			assert.deepEqual(record.availability, {type: 'leaving'});
		});
	});

	describe('of an upstream that asks for a back-off', () => {
		it('should report it as available from the end of the back-off on', () => {
			const {clock, record} = createRecord();
			assert.equal(record.update({type: 'back-off', durationMs: 3000}), true);
			clock.advance(2999);
			assert.deepEqual(record.availability, {type: 'backing-off', remainingMs: 1});
			clock.advance(1);
			assert.deepEqual(record.availability, {type: 'available'});
		});

		it('should keep to the latest end of all requested back-offs', () => {
			const {clock, record} = createRecord();
			record.update({type: 'back-off', durationMs: 3000});
			clock.advance(1000);
			assert.equal(record.update({type: 'back-off', durationMs: 500}), false);
			assert.deepEqual(record.availability, {type: 'backing-off', remainingMs: 2000});
			record.update({type: 'back-off', durationMs: 4000});
			assert.deepEqual(record.availability, {type: 'backing-off', remainingMs: 4000});
		});

		it('should limit the duration of a back-off', () => {
			const {clock, record} = createRecord();
			record.update({type: 'back-off', durationMs: Number.MAX_VALUE});
			clock.advance(maximumBackOffMs);
			assert.deepEqual(record.availability, {type: 'available'});
		});

		it('should ignore a back-off of no duration', () => {
			const {record} = createRecord();
			assert.equal(record.update({type: 'back-off', durationMs: 0}), false);
			assert.deepEqual(record.availability, {type: 'available'});
		});
	});
});
