/** Applies records in any order, with duplicates and losses, and checks that readers still agree. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {recordIdSchema} from '../model/ids.js';
import {adoptTransfer, applyRecord, type OffsetRecord} from './apply-record.js';
import {initialConfiguration, type ConfigurationState} from './configuration-state.js';
import {applyPage, advanceToState, startReadProgress} from './read-progress.js';
import {createSnapshot, verifySnapshot} from './snapshot.js';
import {hashConfiguration} from './stored-configuration.js';

const seed = 20_260_104;
const ids = ['u1', 'u2', 'u3'];

function upstream(id: string, slots: number) {
	const port = 9000 + Number(id.slice(1));
	return {
		id, address: `127.0.0.1:${port}`, availabilityZone: 'nadi', slots, connections: 200,
	};
}

const inventoryChange = fc.record({
	present: fc.subarray(ids, {minLength: 1}),
	slots: fc.integer({min: 1, max: 3}),
}).map(({present, slots}) => ({
	kind: 'inventory', services: [{id: 'records', upstreams: present.map(id => upstream(id, slots))}],
}));

const rulesChange = fc.integer({min: 0, max: 2}).map(priority => ({
	kind: 'rules', classes: [{id: 'status', match: {}, priority}], services: [],
}));

const drainChange = fc.record({upstream: fc.constantFrom(...ids), draining: fc.boolean()})
	.map(drain => ({kind: 'drain', ...drain}));

/** Entry to append to the log. `lag` counts records back: to the change's base, the snapshot's state or the repeated record. */
const entry = fc.oneof(
	{weight: 6, arbitrary: fc.record({type: fc.constant('change' as const), change: fc.oneof(inventoryChange, rulesChange, drainChange), lag: fc.nat(4)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('snapshot' as const), lag: fc.nat(4)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('repeat' as const), lag: fc.nat(6)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('junk' as const), junk: fc.jsonValue()})},
);

type Entry = typeof entry extends fc.Arbitrary<infer T> ? T : never;

type History = {
	readonly records: readonly OffsetRecord[];
	/** State after each offset of a reader that applied every record. */
	readonly states: readonly ConfigurationState[];
};

function valueOf(item: Entry, records: readonly OffsetRecord[], states: readonly ConfigurationState[]): unknown {
	const offset = records.length + 1;
	switch (item.type) {
		case 'change': {
			return {
				type: 'change', id: `id-${offset}`, baseOffset: Math.max(0, offset - 1 - item.lag), author: 'clerk', change: item.change,
			};
		}

		case 'snapshot': {
			const state = states[Math.max(0, offset - 1 - item.lag)]!;
			return createSnapshot(state, recordIdSchema.parse(`id-${offset}`));
		}

		case 'repeat': {
			return records[Math.max(0, records.length - 1 - item.lag)]?.value ?? 'nothing to repeat';
		}

		case 'junk': {
			return item.junk;
		}
	}
}

function buildHistory(entries: readonly Entry[]): History {
	const records: OffsetRecord[] = [];
	const states = [initialConfiguration];
	for (const item of entries) {
		const record = {offset: records.length + 1, value: structuredClone(valueOf(item, records, states))};
		records.push(record);
		states.push(applyRecord(states.at(-1)!, record).state);
	}

	return {records, states};
}

const history = fc.array(entry, {minLength: 1, maxLength: 30}).map(entries => buildHistory(entries));

function assertMatchesHistory(state: ConfigurationState, before: ConfigurationState, {states}: History): void {
	assert.ok(state.throughOffset >= before.throughOffset, 'offset decreased');
	assert.equal(hashConfiguration(state), hashConfiguration(states[state.throughOffset]!));
}

describe('applying configuration records', () => {
	it('should give the same state for an offset under any interleaving, duplication and loss', () => {
		const steps = fc.array(fc.record({
			source: fc.constantFrom('record', 'record', 'record', 'transfer', 'reopened'), reader: fc.nat(2), at: fc.nat(),
		}), {maxLength: 80});
		fc.assert(fc.property(history, steps, (log, randomSteps) => {
			const readers = [initialConfiguration, initialConfiguration, initialConfiguration];
			for (const {source, reader, at} of randomSteps) {
				const before = readers[reader]!;
				const other = readers[at % readers.length]!;
				const received = source === 'transfer'
					? adoptTransfer(before, other)
					: (source === 'reopened'
						? adoptTransfer(before, verifySnapshot(createSnapshot(other, recordIdSchema.parse('t')))._unsafeUnwrap())
						: applyRecord(before, log.records[at % log.records.length]!).state);
				assertMatchesHistory(received, before, log);
				readers[reader] = received;
			}
		}), {seed, numRuns: 300});
	});

	it('should follow the history from any pages while records expire, and reach the newest state from a peer', () => {
		const reads = fc.array(fc.record({
			limit: fc.integer({min: 1, max: 6}), expired: fc.nat(2), lagging: fc.nat(3), late: fc.boolean(),
		}), {maxLength: 40});
		fc.assert(fc.property(history, reads, (log, randomSteps) => {
			let progress = startReadProgress();
			let earliestOffset = 1;
			let latePage;
			for (const {limit, expired, lagging, late} of randomSteps) {
				earliestOffset = Math.min(earliestOffset + expired, log.records.length + 1);
				const endOffset = log.records.length - lagging;
				const from = Math.max(progress.nextOffset, earliestOffset);
				const records = log.records.slice(from - 1, Math.max(0, endOffset)).slice(0, limit);
				const page = {records, earliestOffset, endOffset: Math.max(0, endOffset)};
				const before = progress;
				progress = applyPage(progress, late && latePage !== undefined ? latePage : page).progress;
				latePage = page;
				assertMatchesHistory(progress.state, before.state, log);
				assert.ok(progress.nextOffset > progress.state.throughOffset);
			}

			const caughtUp = advanceToState(progress, log.states.at(-1)!);
			assert.equal(hashConfiguration(caughtUp.state), hashConfiguration(log.states.at(-1)!));
		}), {seed, numRuns: 300});
	});

	it('should not accept both of two concurrent changes of the same part', () => {
		const contested = fc.oneof(
			fc.constant('inventory').chain(() => fc.tuple(inventoryChange, inventoryChange)),
			fc.constant('rules').chain(() => fc.tuple(rulesChange, rulesChange)),
		);
		fc.assert(fc.property(history, contested, (log, [first, second]) => {
			const base = log.states.at(-1)!;
			const change = (id: string, value: unknown) => ({
				type: 'change', id, baseOffset: base.throughOffset, author: id, change: value,
			});
			const one = applyRecord(base, {offset: base.throughOffset + 1, value: change('one', first)});
			const two = applyRecord(one.state, {offset: base.throughOffset + 2, value: change('two', second)});
			if (one.verdict.type === 'accepted') {
				assert.ok(two.verdict.type === 'conflict' || two.verdict.type === 'unchanged');
				assert.equal(two.state.acceptedOffset, base.throughOffset + 1);
			}

			if (two.verdict.type === 'conflict') {
				assert.equal(two.verdict.with.author, 'one');
			}
		}), {seed, numRuns: 200});
	});

	it('should never accept a second copy of a record, even if the first is no longer among the recent changes', () => {
		fc.assert(fc.property(history, fc.nat(), (log, at) => {
			const last = log.states.at(-1)!;
			const withoutRecentChanges = {...last, recentChanges: []};
			const copy = {offset: last.throughOffset + 1, value: log.records[at % log.records.length]!.value};
			assert.notEqual(applyRecord(withoutRecentChanges, copy).verdict.type, 'accepted');
		}), {seed, numRuns: 500});
	});
});
