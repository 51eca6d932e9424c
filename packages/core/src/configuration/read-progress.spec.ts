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

const twoUpstreams = {kind: 'inventory', services: [{id: 'records', upstreams: [upstream('r1', 9001), upstream('r2', 9002)]}]};
const oneUpstream = {kind: 'inventory', services: [{id: 'records', upstreams: [upstream('r1', 9001)]}]};
const drain = (id: string) => ({kind: 'drain', upstream: id, draining: true});

function applyAll(values: readonly unknown[], from: ConfigurationState = initialConfiguration) {
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

describe('read progress', () => {
	describe('drains', () => {
		it('should stay in force after a new inventory that still has the upstream', () => {
			const {state} = applyAll([change('a', 0, twoUpstreams), change('b', 1, drain('r1')), change('c', 2, drain('r2')), change('d', 3, oneUpstream)]);
			assert.deepEqual([...state.drained], ['r1']);
		});

		it('should conflict with the inventory that removed the upstream', () => {
			const {verdicts} = applyAll([change('a', 0, twoUpstreams), change('b', 1, oneUpstream), change('c', 1, drain('r2'))]);
			const last = verdicts.at(-1)!;
			assert.equal(last.type, 'conflict');
			assert.equal(last.type === 'conflict' && last.with.author, 'b');
		});

		it('should be invalid for an upstream that the inventory never had', () => {
			assert.deepEqual(applyAll([change('a', 0, twoUpstreams), change('b', 1, drain('r9'))]).types, ['accepted', 'invalid']);
		});
	});

	it('should not apply a late copy of a rejected drain to an upstream added since', () => {
		const late = change('b', 1, drain('r2'));
		const {state, types} = applyAll([change('a', 0, oneUpstream), late, change('c', 2, twoUpstreams)]);
		assert.deepEqual(types, ['accepted', 'invalid', 'accepted']);
		assert.deepEqual(applyAll([late], {...state, recentChanges: []}).types, ['conflict']);
	});

	describe('with concurrent changes of different parts', () => {
		it('should accept both', () => {
			const rules = {kind: 'rules', classes: [], services: [{service: 'records'}]};
			assert.deepEqual(applyAll([change('a', 0, twoUpstreams), change('b', 0, rules)]).types, ['accepted', 'accepted']);
		});
	});

	describe('with expired records', () => {
		const values = [change('a', 0, twoUpstreams), change('b', 1, drain('r1')), change('c', 2, drain('r2'))];
		const complete = applyAll(values).state;

		it('should report which records are missing and leave the state as it is', () => {
			const page = {records: toRecords([values[2]], 3), earliestOffset: 3, endOffset: 3};
			const {progress} = applyPage(startReadProgress(), page);
			assert.deepEqual(progress.standing, {type: 'missing-records', fromOffset: 1, earliestOffset: 3});
			assert.equal(progress.state, initialConfiguration);
		});

		it('should start from a snapshot and apply the records after its offset', () => {
			const snapshot = createSnapshot(applyAll(values.slice(0, 2)).state, recordIdSchema.parse('s'));
			const page = {records: toRecords([values[2], snapshot], 3), earliestOffset: 3, endOffset: 4};
			const {progress, applied} = applyPage(startReadProgress(), page);
			assert.deepEqual(progress.standing, {type: 'current'});
			assert.deepEqual([...progress.state.drained], ['r1', 'r2']);
			assert.deepEqual(applied.map(({verdict}) => verdict.type), ['gap', 'snapshot-adopted', 'accepted', 'snapshot-seen']);
		});

		it('should not adopt a snapshot whose state was altered', () => {
			const snapshot = createSnapshot(complete, recordIdSchema.parse('s'));
			const altered = {...snapshot, state: {...(snapshot.state as Record<string, unknown>), drained: []}};
			const page = {records: toRecords([altered], 4), earliestOffset: 4, endOffset: 4};
			assert.equal(applyPage(startReadProgress(), page).progress.standing.type, 'missing-records');
		});

		it('should report missing records if all have expired, and continue after the end instead of reading the same offset again', () => {
			const {progress} = applyPage(startReadProgress(), {records: [], earliestOffset: 4, endOffset: 3});
			assert.equal(progress.standing.type, 'missing-records');
			assert.equal(progress.nextOffset, 4);
		});
	});

	it('should keep its state if the log ends before the state\'s offset', () => {
		const {state} = applyAll([change('a', 0, twoUpstreams), change('b', 1, drain('r1'))]);
		const {progress} = applyPage(startReadProgress(state), {records: [], earliestOffset: 1, endOffset: 1});
		assert.deepEqual(progress, {state, nextOffset: 3, standing: {type: 'log-behind', endOffset: 1}});
	});
});
