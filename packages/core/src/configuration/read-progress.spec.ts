import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {recordIdSchema} from '../model/ids.js';
import {applyRecord, type OffsetRecord} from './apply-record.js';
import {initialConfiguration, type ConfigurationState} from './configuration-state.js';
import {applyPage, startReadProgress} from './read-progress.js';
import {createSnapshot} from './snapshot.js';

function upstream(id: string, port: number) {
	return {
		id, address: `127.0.0.1:${port}`, availabilityZone: 'nadi', slots: 4, connections: 200,
	};
}

function change(id: string, baseOffset: number, value: unknown) {
	return {
		type: 'change', id, baseOffset, author: id, change: value,
	};
}

const both = {kind: 'inventory', services: [{id: 'records', upstreams: [upstream('r1', 9001), upstream('r2', 9002)]}]};
const one = {kind: 'inventory', services: [{id: 'records', upstreams: [upstream('r1', 9001)]}]};
const drain = (id: string) => ({kind: 'drain', upstream: id, draining: true});

function fold(values: readonly unknown[], from: ConfigurationState = initialConfiguration) {
	const verdicts = [];
	let state = from;
	for (const value of values) {
		const step = applyRecord(state, {offset: state.throughOffset + 1, value});
		state = step.state;
		verdicts.push(step.verdict);
	}

	return {state, verdicts, types: verdicts.map(verdict => verdict.type)};
}

function toRecords(values: readonly unknown[], fromOffset = 1): OffsetRecord[] {
	return values.map((value, index) => ({offset: fromOffset + index, value}));
}

describe('configuration reading', () => {
	describe('drains', () => {
		it('should survive a new inventory while their upstream exists', () => {
			const {state} = fold([change('a', 0, both), change('b', 1, drain('r1')), change('c', 2, drain('r2')), change('d', 3, one)]);
			assert.deepEqual([...state.drained], ['r1']);
		});

		it('should conflict with the inventory that removed the upstream', () => {
			const {verdicts} = fold([change('a', 0, both), change('b', 1, one), change('c', 1, drain('r2'))]);
			const last = verdicts.at(-1)!;
			assert.equal(last.type, 'conflict');
			assert.equal(last.type === 'conflict' && last.with.author, 'b');
		});

		it('should be invalid for an upstream that was never there', () => {
			assert.deepEqual(fold([change('a', 0, both), change('b', 1, drain('r9'))]).types, ['accepted', 'invalid']);
		});
	});

	it('should not let a late copy of a refused drain take effect on an upstream added since', () => {
		const late = change('b', 1, drain('r2'));
		const {state, types} = fold([change('a', 0, one), late, change('c', 2, both)]);
		assert.deepEqual(types, ['accepted', 'invalid', 'accepted']);
		assert.deepEqual(fold([late], {...state, recentChanges: []}).types, ['conflict']);
	});

	describe('with changes of different parts at one moment', () => {
		it('should accept both', () => {
			const rules = {kind: 'rules', classes: [], services: [{service: 'records'}]};
			assert.deepEqual(fold([change('a', 0, both), change('b', 0, rules)]).types, ['accepted', 'accepted']);
		});
	});

	describe('with expired records', () => {
		const values = [change('a', 0, both), change('b', 1, drain('r1')), change('c', 2, drain('r2'))];
		const complete = fold(values).state;

		it('should say which records are missing and guess nothing', () => {
			const page = {records: toRecords([values[2]], 3), earliestOffset: 3, endOffset: 3};
			const {progress: reading} = applyPage(startReadProgress(), page);
			assert.deepEqual(reading.standing, {type: 'missing-records', fromOffset: 1, earliestOffset: 3});
			assert.equal(reading.state, initialConfiguration);
		});

		it('should start from a snapshot and the records after its offset', () => {
			const snapshot = createSnapshot(fold(values.slice(0, 2)).state, recordIdSchema.parse('s'));
			const page = {records: toRecords([values[2], snapshot], 3), earliestOffset: 3, endOffset: 4};
			const {progress: reading, applied: folded} = applyPage(startReadProgress(), page);
			assert.deepEqual(reading.standing, {type: 'current'});
			assert.deepEqual([...reading.state.drained], ['r1', 'r2']);
			assert.deepEqual(folded.map(({verdict}) => verdict.type), ['gap', 'snapshot-adopted', 'accepted', 'snapshot-seen']);
		});

		it('should not take a snapshot whose state was altered', () => {
			const snapshot = createSnapshot(complete, recordIdSchema.parse('s'));
			const altered = {...snapshot, state: {...(snapshot.state as Record<string, unknown>), drained: []}};
			const page = {records: toRecords([altered], 4), earliestOffset: 4, endOffset: 4};
			assert.equal(applyPage(startReadProgress(), page).progress.standing.type, 'missing-records');
		});

		it('should tell that everything expired, without asking again in a loop', () => {
			const {progress: reading} = applyPage(startReadProgress(), {records: [], earliestOffset: 4, endOffset: 3});
			assert.equal(reading.standing.type, 'missing-records');
			assert.equal(reading.nextOffset, 4);
		});
	});

	it('should keep its state when the log ends before it', () => {
		const {state} = fold([change('a', 0, both), change('b', 1, drain('r1'))]);
		const {progress: reading} = applyPage(startReadProgress(state), {records: [], earliestOffset: 1, endOffset: 1});
		assert.deepEqual(reading, {state, nextOffset: 3, standing: {type: 'log-behind', endOffset: 1}});
	});
});
