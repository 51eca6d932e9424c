/** Applies log records to the configuration one by one, in offset order. The result is the same for every reader. */
import {toValidationFaults} from '../model/validation-fault.js';
import {applyChange} from './apply-change.js';
import {configurationRecordSchema, type ChangeRecord, type SnapshotRecord} from './configuration-record.js';
import {type ConfigurationState} from './configuration-state.js';
import {maximumRecentChanges, type RecentChange} from './recent-change.js';
import {verifySnapshot} from './snapshot.js';
import {hashConfiguration} from './stored-configuration.js';
import {type ChangeVerdict, type RecordVerdict} from './record-verdict.js';

/** A log record with its offset. Offsets start at 1 and have no gaps. */
export type OffsetRecord = {
	readonly offset: number;
	readonly value: unknown;
};

export type ApplyResult = {
	readonly state: ConfigurationState;
	readonly verdict: RecordVerdict;
};

function appendRecentChange(recent: readonly RecentChange[], change: RecentChange): readonly RecentChange[] {
	return [...recent, change].slice(-maximumRecentChanges);
}

function validateBaseOffset(record: ChangeRecord, offset: number): ChangeVerdict | undefined {
	return record.baseOffset < offset
		? undefined
		: {type: 'invalid', faults: [{path: 'baseOffset', message: `is not lower than the record's own offset ${offset}`}]};
}

function applyChangeRecord(state: ConfigurationState, record: ChangeRecord, offset: number): ApplyResult {
	const known = state.recentChanges.find(recent => recent.id === record.id);
	if (known !== undefined) {
		return {
			state: {...state, throughOffset: offset},
			verdict: {type: 'duplicate', firstOffset: known.offset, first: known.verdict},
		};
	}

	const {id, author} = record;
	const rejection = validateBaseOffset(record, offset);
	const {state: changed, verdict} = rejection === undefined
		? applyChange(state, record.change, record.baseOffset, {offset, id, author})
		: {state, verdict: rejection};
	const recentChanges = appendRecentChange(state.recentChanges, {id, offset, verdict: verdict.type});
	return {state: {...changed, throughOffset: offset, recentChanges}, verdict};
}

function applySnapshotRecord(state: ConfigurationState, snapshot: SnapshotRecord, offset: number): ApplyResult {
	const {throughOffset, hash} = snapshot;
	const agrees = throughOffset === state.throughOffset ? hash === hashConfiguration(state) : undefined;
	return {
		state: {...state, throughOffset: offset},
		verdict: {type: 'snapshot-seen', throughOffset, agrees},
	};
}

function applyNextRecord(state: ConfigurationState, {offset, value}: OffsetRecord): ApplyResult {
	const parsed = configurationRecordSchema.safeParse(value);
	if (!parsed.success) {
		const faults = toValidationFaults(parsed.error);
		return {state: {...state, throughOffset: offset}, verdict: {type: 'invalid', faults}};
	}

	switch (parsed.data.type) {
		case 'change': {
			return applyChangeRecord(state, parsed.data, offset);
		}

		case 'snapshot': {
			return applySnapshotRecord(state, parsed.data, offset);
		}
	}
}

/** Applies a record that follows missing records: only a valid snapshot of a later offset changes the state. */
function applyAfterGap(state: ConfigurationState, {offset, value}: OffsetRecord): ApplyResult {
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

/** Applies one record to `state`. The state's offset never decreases, in whatever order records arrive. */
export function applyRecord(state: ConfigurationState, record: OffsetRecord): ApplyResult {
	if (record.offset <= state.throughOffset) {
		return {state, verdict: {type: 'stale'}};
	}

	return record.offset === state.throughOffset + 1 ? applyNextRecord(state, record) : applyAfterGap(state, record);
}

/** Returns the state received from a peer if its offset is higher, and otherwise the reader's own state. */
export function adoptTransfer(state: ConfigurationState, transferred: ConfigurationState): ConfigurationState {
	return transferred.throughOffset > state.throughOffset ? transferred : state;
}
