/** A reader's place in the log: the state that it folded, where it reads next, and how it stands. */
import {applyRecord, type OffsetRecord} from './apply-record.js';
import {initialConfiguration, type ConfigurationState} from './configuration-state.js';
import {type RecordVerdict} from './record-verdict.js';

/** How a reader's state relates to what the log keeps. */
export type LogStanding =
	/** Nothing was read yet. */
	| {readonly type: 'unread'}
	/** More records are waiting to be read. */
	| {readonly type: 'catching-up'}
	/** Folded through the newest record that the log told of. */
	| {readonly type: 'current'}
	/**
	Records that the state needs have expired and no kept snapshot stands in for them.
	Only a snapshot or another daemon's state can help; nothing is guessed.
	*/
	| {readonly type: 'missing-records'; readonly fromOffset: number; readonly earliestOffset: number}
	/** The log's end lies before what was folded: a lagging copy, or a log that lost records. */
	| {readonly type: 'log-behind'; readonly endOffset: number};

export type ReadProgress = {
	readonly state: ConfigurationState;
	/** Offset to ask the log for next. */
	readonly nextOffset: number;
	readonly standing: LogStanding;
};

/** The shape of a page of the log that the fold needs. */
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

/** Reading that starts at the log's first record, or after a state known from elsewhere. */
export function startReadProgress(state: ConfigurationState = initialConfiguration): ReadProgress {
	return {state, nextOffset: state.throughOffset + 1, standing: {type: 'unread'}};
}

function foldRecords(state: ConfigurationState, records: readonly OffsetRecord[]) {
	const folded: AppliedRecord[] = [];
	let current = state;
	let index = 0;
	while (index < records.length) {
		const record = records[index]!;
		const step = applyRecord(current, record);
		current = step.state;
		folded.push({record, verdict: step.verdict});
		// An adopted snapshot may speak of an offset before records that were passed over: those come again.
		index = step.verdict.type === 'snapshot-adopted'
			? firstIndexAfter(records, current.throughOffset)
			: index + 1;
	}

	return {state: current, folded};
}

function firstIndexAfter(records: readonly OffsetRecord[], offset: number): number {
	const index = records.findIndex(record => record.offset > offset);
	return index === -1 ? records.length : index;
}

function judgeStanding(state: ConfigurationState, nextOffset: number, page: OffsetPage): LogStanding {
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

/** Where to read next: right after the state, or further on while the rest is searched for a snapshot. */
function nextOffsetAfter(asked: number, state: ConfigurationState, page: OffsetPage): number {
	const wanted = state.throughOffset + 1;
	if (page.earliestOffset <= wanted) {
		return wanted;
	}

	const last = page.records.at(-1);
	const searched = last === undefined ? Math.max(asked, page.earliestOffset) : last.offset + 1;
	return Math.max(wanted, Math.min(searched, page.endOffset + 1));
}

/** Folds a page that the log answered. A page may be repeated, late or overlapping. */
export function applyPage(reading: ReadProgress, page: OffsetPage): PageResult {
	const records = [...page.records].sort((left, right) => left.offset - right.offset);
	const {state, folded} = foldRecords(reading.state, records);
	const nextOffset = nextOffsetAfter(reading.nextOffset, state, {...page, records});
	return {progress: {state, nextOffset, standing: judgeStanding(state, nextOffset, page)}, applied: folded};
}

/** Moves a reading to a state that came from elsewhere, if that one is further along. */
export function advanceToState(reading: ReadProgress, state: ConfigurationState): ReadProgress {
	return state.throughOffset > reading.state.throughOffset
		? {state, nextOffset: state.throughOffset + 1, standing: {type: 'catching-up'}}
		: reading;
}
