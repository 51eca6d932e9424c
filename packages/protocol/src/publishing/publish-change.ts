/** Publishes one change: appends it, reads it back, and returns the verdict that every reader reaches. */
import {type Author, type Change, type RecordId} from '@cairnbank/core';
import {
	applyRecord, configurationStream, type ChangeRecord, type AppliedRecord, type ReadProgress, type RecordVerdict,
} from '@cairnbank/core/configuration';
import {type LogClient} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';
import {type PublishVerdict} from './publish-verdict.js';
import {readToEnd, type ReadResult} from './read-configuration.js';

/** Attempts to append one record, all with the same id, before the result is given as unknown. */
const maximumAppends = 3;

export type PublishOptions = {
	readonly change: Change;
	readonly author: Author;
	/** Unique id; a caller that publishes the change again after `unknown` may pass the same one. */
	readonly id: RecordId;
	/** Offset of the configuration that the author saw; the log's current end if absent. */
	readonly baseOffset?: number;
	/** Aborts all calls; if it is then not certain whether an append took effect, the result is `unknown`. */
	readonly signal?: AbortSignal;
};

function toPublishVerdict(verdict: RecordVerdict, offset: number, progress: ReadProgress): PublishVerdict | undefined {
	switch (verdict.type) {
		case 'accepted': {
			return {type: 'accepted', offset};
		}

		case 'unchanged': {
			return {type: 'unchanged', offset: progress.state.acceptedOffset};
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

/** Returns the verdict on the first copy of the record, if the log has one or a snapshot lists it as accepted. */
function findVerdict({progress, applied}: ReadResult, id: RecordId): PublishVerdict | undefined {
	const verdicts = applied
		.filter(item => hasId(item, id))
		.map(({record, verdict}) => toPublishVerdict(verdict, record.offset, progress));
	return verdicts.find(verdict => verdict !== undefined) ?? recentVerdict(progress, id);
}

function recentVerdict({state}: ReadProgress, id: RecordId): PublishVerdict | undefined {
	const recentChange = state.recentChanges.find(recent => recent.id === id);
	return recentChange?.verdict === 'accepted' ? {type: 'accepted', offset: recentChange.offset} : undefined;
}

/** Returns the verdict that readers would reach if the record came next. */
function predictVerdict({state}: ReadProgress, record: ChangeRecord): RecordVerdict {
	return applyRecord(state, {offset: state.throughOffset + 1, value: record}).verdict;
}

/** Returns a verdict if nothing must be appended: the change is in force, in conflict or invalid, or cannot be evaluated. */
function evaluateBeforeAppend(progress: ReadProgress, record: ChangeRecord): PublishVerdict | undefined {
	if (progress.standing.type === 'missing-records') {
		return progress.standing;
	}

	const predicted = predictVerdict(progress, record);
	return predicted.type === 'accepted' ? undefined : toPublishVerdict(predicted, 0, progress);
}

/** Whether an append that failed with this error certainly did not add the record to the log. */
function hadNoEffect(error: LogError): boolean {
	return error.type === 'unreachable' || error.type === 'refused';
}

async function appendAndReadBack(
	log: LogClient,
	before: ReadProgress,
	record: ChangeRecord,
	signal?: AbortSignal,
): Promise<PublishVerdict> {
	let unresolvedError: LogError | undefined;
	let lastError: LogError | undefined;
	for (let attempt = 0; attempt < maximumAppends; attempt += 1) {
		const appended = await log.append(configurationStream, record, signal);
		if (appended.isErr()) {
			lastError = appended.error;
			unresolvedError = hadNoEffect(lastError) ? unresolvedError : lastError;
			if (lastError.type === 'refused') {
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

	return unresolvedError === undefined
		? {type: 'not-published', error: lastError!}
		: {type: 'unknown', error: unresolvedError};
}

/**
Publishes a change and reads it back.

@returns The result; `unknown` only if an append may have taken effect and the record could not be read back.
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

	const {progress} = read.value;
	const earlier = findVerdict(read.value, id);
	if (earlier !== undefined) {
		return earlier;
	}

	const baseOffset = options.baseOffset ?? progress.state.throughOffset;
	const record: ChangeRecord = {
		type: 'change', id, baseOffset, author, change,
	};
	return evaluateBeforeAppend(progress, record) ?? appendAndReadBack(log, progress, record, signal);
}
