/** Until when the log alone can tell the whole configuration, as a reader learns it from what it folds. */
import {type AppliedRecord, type OffsetPage} from './read-progress.js';

/** Records after the newest snapshot beyond which a new one is worth its append. */
export const maximumRecordsAfterSnapshot = 500;

/** A record of the log with the time of its append. */
type AppendedRecord = {
	readonly offset: number;
	readonly appendedAtMs: number;
};

/** What is known of the newest snapshot and the records that a new reader needs besides it. */
export type SnapshotCoverage = {
	/** Offset that the newest snapshot speaks of; 0 where the log's own start serves; absent where it is not known. */
	readonly snapshotOffset?: number;
	/** Records after that offset, oldest first. */
	readonly needed: readonly AppendedRecord[];
	/** Oldest offset that the log still kept at the last read. */
	readonly earliestOffset: number;
};

export const unknownCoverage: SnapshotCoverage = {needed: [], earliestOffset: 1};

/** Why a snapshot should be written now, or that none is needed. */
export type SnapshotNeed = 'none' | 'unknown-coverage' | 'expired' | 'expires-soon' | 'many-records';

/** What of one record matters here. */
export type CoverageRecord = AppliedRecord & {
	readonly appendedAtMs: number;
};

function snapshotOffsetOf({verdict}: AppliedRecord): number | undefined {
	const isSound = verdict.type === 'snapshot-adopted' || (verdict.type === 'snapshot-seen' && verdict.agrees !== false);
	return isSound ? verdict.throughOffset : undefined;
}

/** Keeps the oldest, as it expires first, and the newest. */
function bounded(needed: readonly AppendedRecord[]): readonly AppendedRecord[] {
	return needed.length > maximumRecordsAfterSnapshot + 1
		? [needed[0]!, ...needed.slice(-maximumRecordsAfterSnapshot)]
		: needed;
}

function coverRecord(coverage: SnapshotCoverage, folded: CoverageRecord): SnapshotCoverage {
	const {offset} = folded.record;
	const needed = (coverage.needed.at(-1)?.offset ?? 0) < offset
		? [...coverage.needed, {offset, appendedAtMs: folded.appendedAtMs}]
		: coverage.needed;
	const told = snapshotOffsetOf(folded) ?? (offset === 1 ? 0 : undefined);
	const known = coverage.snapshotOffset;
	if (told === undefined || (known !== undefined && told <= known)) {
		return {...coverage, needed: bounded(needed)};
	}

	return {...coverage, snapshotOffset: told, needed: needed.filter(record => record.offset > told)};
}

/** Takes in the records of one page. */
export function updateCoverage(
	coverage: SnapshotCoverage,
	folded: readonly CoverageRecord[],
	{earliestOffset}: Pick<OffsetPage, 'earliestOffset'>,
): SnapshotCoverage {
	let current: SnapshotCoverage = {...coverage, earliestOffset};
	for (const record of folded) {
		current = coverRecord(current, record);
	}

	return current;
}

/** Whether a reader that has nothing would soon find too little in the log. */
export function assessSnapshotNeed(
	{snapshotOffset, needed, earliestOffset}: SnapshotCoverage,
	nowMs: number,
	retentionMs: number,
): SnapshotNeed {
	if (snapshotOffset === undefined) {
		return 'unknown-coverage';
	}

	if (snapshotOffset + 1 < earliestOffset) {
		return 'expired';
	}

	const oldest = needed[0];
	if (oldest !== undefined && nowMs - oldest.appendedAtMs >= retentionMs / 2) {
		return 'expires-soon';
	}

	return needed.length > maximumRecordsAfterSnapshot ? 'many-records' : 'none';
}
