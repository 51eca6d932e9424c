/** Publishing one change: append it, find it again, and tell what every reader makes of it. */
import {type Author, type Change, type RecordId} from '@cairnbank/core';
import {
	applyRecord, configurationStream, type ChangeRecord, type AppliedRecord, type ReadProgress, type RecordVerdict,
} from '@cairnbank/core/configuration';
import {type LogClient} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';
import {type PublishVerdict} from './publish-verdict.js';
import {readToEnd, type ReadResult} from './read-configuration.js';

/** Appends of one record, with one id, before its fate is left open. */
const maximumAppends = 3;

export type PublishOptions = {
	readonly change: Change;
	readonly author: Author;
	/** Unique; a caller that publishes again after `unknown` may pass the same one. */
	readonly id: RecordId;
	/** Offset of the configuration that the author looked at; absent means the log's end as read now. */
	readonly baseOffset?: number;
	/** Ends all waiting; what is not proved by then is `unknown`. */
	readonly signal?: AbortSignal;
};

function toPublishVerdict(verdict: RecordVerdict, offset: number, reading: ReadProgress): PublishVerdict | undefined {
	switch (verdict.type) {
		case 'accepted': {
			return {type: 'accepted', offset};
		}

		case 'unchanged': {
			return {type: 'unchanged', offset: reading.state.acceptedOffset};
		}

		case 'conflict':
		case 'invalid': {
			return verdict;
		}

		case 'duplicate':
		case 'snapshot-seen':
		case 'snapshot-adopted':
		case 'stale':
		case 'gap': {
			return undefined;
		}
	}
}

function hasId({record}: AppliedRecord, id: RecordId): boolean {
	return typeof record.value === 'object' && record.value !== null && 'id' in record.value && record.value.id === id;
}

/** The verdict on the first copy of the record, if the log holds one or a snapshot remembers it. */
function findVerdict({progress: reading, applied: folded}: ReadResult, id: RecordId): PublishVerdict | undefined {
	const verdicts = folded
		.filter(item => hasId(item, id))
		.map(({record, verdict}) => toPublishVerdict(verdict, record.offset, reading));
	return verdicts.find(verdict => verdict !== undefined) ?? recallVerdict(reading, id);
}

function recallVerdict({state}: ReadProgress, id: RecordId): PublishVerdict | undefined {
	const recalled = state.recentChanges.find(recent => recent.id === id);
	return recalled?.verdict === 'accepted' ? {type: 'accepted', offset: recalled.offset} : undefined;
}

/** What readers would make of the record if it came next. */
function foresee({state}: ReadProgress, record: ChangeRecord): RecordVerdict {
	return applyRecord(state, {offset: state.throughOffset + 1, value: record}).verdict;
}

/** Reasons to append nothing: the change is already in force, too late, faulty, or cannot be judged. */
function judgeBeforehand(reading: ReadProgress, record: ChangeRecord): PublishVerdict | undefined {
	if (reading.standing.type === 'missing-records') {
		return reading.standing;
	}

	const foreseen = foresee(reading, record);
	return foreseen.type === 'accepted' ? undefined : toPublishVerdict(foreseen, 0, reading);
}

/** Whether an append that ended this way left the record out of the log for certain. */
function hadNoEffect(error: LogError): boolean {
	return error.type === 'unreachable' || error.type === 'refused';
}

async function appendAndFind(
	log: LogClient,
	before: ReadProgress,
	record: ChangeRecord,
	signal?: AbortSignal,
): Promise<PublishVerdict> {
	let open: LogError | undefined;
	let last: LogError | undefined;
	for (let attempt = 0; attempt < maximumAppends; attempt += 1) {
		const appended = await log.append(configurationStream, record, signal);
		if (appended.isErr()) {
			last = appended.error;
			open = hadNoEffect(last) ? open : last;
			if (last.type === 'refused') {
				break;
			}
		}

		const read = await readToEnd(log, before, signal);
		const found = read.isOk() ? findVerdict(read.value, record.id) : undefined;
		if (found !== undefined) {
			return found;
		}

		if (appended.isOk()) {
			const error = read.isErr() ? read.error : {type: 'malformed' as const, message: 'the log does not show the record that it acknowledged'};
			return {type: 'unknown', error};
		}
	}

	return open === undefined
		? {type: 'not-published', error: last!}
		: {type: 'unknown', error: open};
}

/**
Publishes a change and reads it back.

@returns What became of it. `unknown` only where the log took an append and could not be read afterwards.
@example
```ts
const verdict = await publishChange(log, {change, author, id: recordIdSchema.parse(uuid())});
```
*/
export async function publishChange(log: LogClient, options: PublishOptions): Promise<PublishVerdict> {
	const {change, author, id, signal} = options;
	const read = await readToEnd(log, undefined, signal);
	if (read.isErr()) {
		return {type: 'not-published', error: read.error};
	}

	const {progress: reading} = read.value;
	const earlier = findVerdict(read.value, id);
	if (earlier !== undefined) {
		return earlier;
	}

	const baseOffset = options.baseOffset ?? reading.state.throughOffset;
	const record: ChangeRecord = {
		type: 'change', id, baseOffset, author, change,
	};
	return judgeBeforehand(reading, record) ?? appendAndFind(log, reading, record, signal);
}
