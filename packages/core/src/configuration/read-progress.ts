/** A reader's progress in the configuration log: its state, the offset to read next, and how both relate to the log. */
import {applyRecord, type OffsetRecord} from './apply-record.js';
import {initialConfiguration, type ConfigurationState} from './configuration-state.js';
import {type RecordVerdict} from './record-verdict.js';

/** Standing of a reader's state relative to the records that the log still has. */
export type LogStanding =
	/** Nothing was read yet. */
	| {readonly type: 'unread'}
	/** The log has more records to read. */
	| {readonly type: 'catching-up'}
	/** All records through the log's last known end are applied. */
	| {readonly type: 'current'}
	/**
	Records that the state needs have expired, and the log has no snapshot that replaces them.
	The state stays as it is until a new snapshot or another daemon's state replaces it.
	*/
	| {readonly type: 'missing-records'; readonly fromOffset: number; readonly earliestOffset: number}
	/** The log ends before the state's offset: it is a lagging replica or has lost records. */
	| {readonly type: 'log-behind'; readonly endOffset: number};

export type ReadProgress = {
	readonly state: ConfigurationState;
	/** Offset of the next read. */
	readonly nextOffset: number;
	readonly standing: LogStanding;
};

/** The fields of a log page that are needed to apply its records. */
export type OffsetPage = {
	readonly records: readonly OffsetRecord[];
	readonly earliestOffset: number;
	readonly endOffset: number;
};

export type AppliedRecord = {
	readonly record: OffsetRecord;
	readonly verdict: RecordVerdict;
};

export type PageResult = {
	readonly progress: ReadProgress;
	readonly applied: readonly AppliedRecord[];
};

/** Starts at the log's first record, or after `state` if the reader already has one. */
export function startReadProgress(state: ConfigurationState = initialConfiguration): ReadProgress {
	return {state, nextOffset: state.throughOffset + 1, standing: {type: 'unread'}};
}

function applyRecords(state: ConfigurationState, records: readonly OffsetRecord[]) {
	const applied: AppliedRecord[] = [];
	let current = state;
	let index = 0;
	while (index < records.length) {
		const record = records[index]!;
		const step = applyRecord(current, record);
		current = step.state;
		applied.push({record, verdict: step.verdict});
		// An adopted snapshot may be of an offset before records that were skipped as gaps, so those are applied again.
		index = step.verdict.type === 'snapshot-adopted'
			? firstIndexAfter(records, current.throughOffset)
			: index + 1;
	}

	return {state: current, applied};
}

function firstIndexAfter(records: readonly OffsetRecord[], offset: number): number {
	const index = records.findIndex(record => record.offset > offset);
	return index === -1 ? records.length : index;
}

function determineStanding(state: ConfigurationState, nextOffset: number, page: OffsetPage): LogStanding {
	const {throughOffset} = state;
	const {earliestOffset, endOffset} = page;
	if (endOffset < throughOffset) {
		return {type: 'log-behind', endOffset};
	}

	if (endOffset === throughOffset) {
		return {type: 'current'};
	}

	return earliestOffset > throughOffset + 1 && nextOffset > endOffset
		? {type: 'missing-records', fromOffset: throughOffset + 1, earliestOffset}
		: {type: 'catching-up'};
}

/** Returns the offset to read next: right after the state, or later while the reader searches for a snapshot after missing records. */
function nextOffsetAfter(requestedOffset: number, state: ConfigurationState, page: OffsetPage): number {
	const firstUnapplied = state.throughOffset + 1;
	if (page.earliestOffset <= firstUnapplied) {
		return firstUnapplied;
	}

	const last = page.records.at(-1);
	const afterSearched = last === undefined ? Math.max(requestedOffset, page.earliestOffset) : last.offset + 1;
	return Math.max(firstUnapplied, Math.min(afterSearched, page.endOffset + 1));
}

/** Applies a page read from the log. Pages may be duplicated, late or overlapping. */
export function applyPage(progress: ReadProgress, page: OffsetPage): PageResult {
	const records = [...page.records].sort((left, right) => left.offset - right.offset);
	const {state, applied} = applyRecords(progress.state, records);
	const nextOffset = nextOffsetAfter(progress.nextOffset, state, {...page, records});
	return {progress: {state, nextOffset, standing: determineStanding(state, nextOffset, page)}, applied};
}

/** Moves on to a state from another source if its offset is higher than the reader's. */
export function advanceToState(progress: ReadProgress, state: ConfigurationState): ReadProgress {
	return state.throughOffset > progress.state.throughOffset
		? {state, nextOffset: state.throughOffset + 1, standing: {type: 'catching-up'}}
		: progress;
}
