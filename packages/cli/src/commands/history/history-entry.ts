/** One change in the log, with its verdict: the result of applying it to the configuration. */
import {type Change} from '@cairnbank/core';
import {configurationRecordSchema, type AppliedRecord, type RecordVerdict} from '@cairnbank/core/configuration';
import {logRecordSchema} from '@cairnbank/protocol/log';

export type HistoryEntry = {
	readonly offset: number;
	readonly appendedAt?: string;
	readonly id?: string;
	readonly author?: string;
	readonly change?: Change;
	readonly verdict: RecordVerdict;
};

/** Converts a record of the log to an entry. Returns nothing for a snapshot, which changes nothing. */
export function toHistoryEntry({record, verdict}: AppliedRecord): HistoryEntry | undefined {
	const parsed = configurationRecordSchema.safeParse(record.value);
	const appendedAt = logRecordSchema.safeParse(record).data?.appendedAt;
	if (!parsed.success) {
		return {offset: record.offset, appendedAt, verdict};
	}

	if (parsed.data.type === 'snapshot') {
		return undefined;
	}

	const {id, author, change} = parsed.data;
	return {
		offset: record.offset, appendedAt, id, author, change, verdict,
	};
}

/** Describes a verdict in a few words. */
export function describeVerdict(verdict: RecordVerdict): string {
	switch (verdict.type) {
		case 'accepted':
		case 'unchanged': {
			return verdict.type;
		}

		case 'conflict': {
			return `conflict with offset ${verdict.with.offset}`;
		}

		case 'invalid': {
			return `invalid: ${verdict.faults[0]?.path}: ${verdict.faults[0]?.message}`;
		}

		case 'duplicate': {
			return `duplicate of offset ${verdict.firstOffset}`;
		}

		case 'stale':
		case 'gap':
		case 'snapshot-seen':
		case 'snapshot-adopted': {
			return `not evaluated (${verdict.type})`;
		}
	}
}
