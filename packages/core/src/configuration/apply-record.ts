/** The fold: one record of the log after another, in offset order, with the same result for every reader. */
import {toValidationFaults} from '../model/validation-fault.js';
import {applyChange} from './apply-change.js';
import {configurationRecordSchema, type ChangeRecord, type SnapshotRecord} from './configuration-record.js';
import {type ConfigurationState} from './configuration-state.js';
import {maximumRecentChanges, type RecentChange} from './recent-change.js';
import {verifySnapshot} from './snapshot.js';
import {hashConfiguration} from './stored-configuration.js';
import {type ChangeVerdict, type RecordVerdict} from './record-verdict.js';

/** A record as the log hands it out: offsets are dense and start at 1. */
export type OffsetRecord = {
	readonly offset: number;
	readonly value: unknown;
};

export type ApplyResult = {
	readonly state: ConfigurationState;
	readonly verdict: RecordVerdict;
};

function remember(recent: readonly RecentChange[], change: RecentChange): readonly RecentChange[] {
	return [...recent, change].slice(-maximumRecentChanges);
}

function judgeBase(record: ChangeRecord, offset: number): ChangeVerdict | undefined {
	return record.baseOffset < offset
		? undefined
		: {type: 'invalid', faults: [{path: 'baseOffset', message: `lies at or after the record's own offset ${offset}`}]};
}

function foldChange(state: ConfigurationState, record: ChangeRecord, offset: number): ApplyResult {
	const known = state.recentChanges.find(recent => recent.id === record.id);
	if (known !== undefined) {
		return {
			state: {...state, throughOffset: offset},
			verdict: {type: 'duplicate', firstOffset: known.offset, first: known.verdict},
		};
	}

	const {id, author} = record;
	const refused = judgeBase(record, offset);
	const {state: changed, verdict} = refused === undefined
		? applyChange(state, record.change, record.baseOffset, {offset, id, author})
		: {state, verdict: refused};
	const recentChanges = remember(state.recentChanges, {id, offset, verdict: verdict.type});
	return {state: {...changed, throughOffset: offset, recentChanges}, verdict};
}

function noteSnapshot(state: ConfigurationState, snapshot: SnapshotRecord, offset: number): ApplyResult {
	const {throughOffset, hash} = snapshot;
	const agrees = throughOffset === state.throughOffset ? hash === hashConfiguration(state) : undefined;
	return {
		state: {...state, throughOffset: offset},
		verdict: {type: 'snapshot-seen', throughOffset, agrees},
	};
}

function foldNext(state: ConfigurationState, {offset, value}: OffsetRecord): ApplyResult {
	const parsed = configurationRecordSchema.safeParse(value);
	if (!parsed.success) {
		const faults = toValidationFaults(parsed.error);
		return {state: {...state, throughOffset: offset}, verdict: {type: 'invalid', faults}};
	}

	switch (parsed.data.type) {
		case 'change': {
			return foldChange(state, parsed.data, offset);
		}

		case 'snapshot': {
			return noteSnapshot(state, parsed.data, offset);
		}
	}
}

/** Across a gap only a sound snapshot of a later offset helps; anything else leaves the state as it is. */
function crossGap(state: ConfigurationState, {offset, value}: OffsetRecord): ApplyResult {
	const gap: ApplyResult = {state, verdict: {type: 'gap', expectedOffset: state.throughOffset + 1}};
	const parsed = configurationRecordSchema.safeParse(value);
	if (!parsed.success || parsed.data.type !== 'snapshot') {
		return gap;
	}

	const {throughOffset} = parsed.data;
	if (throughOffset <= state.throughOffset || throughOffset >= offset) {
		return gap;
	}

	return verifySnapshot(parsed.data).match(
		adopted => ({state: adopted, verdict: {type: 'snapshot-adopted', throughOffset}}),
		() => gap,
	);
}

/** Folds one record into `state`. The state's offset never falls, whatever the order of records. */
export function applyRecord(state: ConfigurationState, record: OffsetRecord): ApplyResult {
	if (record.offset <= state.throughOffset) {
		return {state, verdict: {type: 'stale'}};
	}

	return record.offset === state.throughOffset + 1 ? foldNext(state, record) : crossGap(state, record);
}

/** Takes a peer's state if it is further along; a lower or equal one changes nothing. */
export function adoptTransfer(state: ConfigurationState, transferred: ConfigurationState): ConfigurationState {
	return transferred.throughOffset > state.throughOffset ? transferred : state;
}
