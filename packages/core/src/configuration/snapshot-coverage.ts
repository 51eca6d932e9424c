/** Tracks, from the records that a reader applied, whether the whole configuration can still be built from the log alone. */
import {type AppliedRecord, type OffsetPage} from './read-progress.js';

/** Number of records after the newest snapshot above which a new snapshot is written. */
export const maximumRecordsAfterSnapshot = 500;

/** A record of the log with the time of its append. */
type AppendedRecord = {
	readonly offset: number;
	readonly appendedAtMs: number;
};

/** The newest snapshot and the records that a new reader needs in addition to it. */
export type SnapshotCoverage = {
	/** Offset of the state in the newest snapshot; 0 if a reader can start at the log's first record; absent if unknown. */
	readonly snapshotOffset?: number;
	/** Records after that offset, oldest first. */
	readonly needed: readonly AppendedRecord[];
	/** Oldest offset that the log still had at the last read. */
	readonly earliestOffset: number;
};

export const unknownCoverage: SnapshotCoverage = {needed: [], earliestOffset: 1};

/** Reason that a snapshot should be written now, or `none`. */
export type SnapshotNeed = 'none' | 'unknown-coverage' | 'expired' | 'expires-soon' | 'many-records';

/** An applied record with the time of its append. */
export type CoverageRecord = AppliedRecord & {
	readonly appendedAtMs: number;
};

function snapshotOffsetOf({verdict}: AppliedRecord): number | undefined {
	const isValid = verdict.type === 'snapshot-adopted' || (verdict.type === 'snapshot-seen' && verdict.agrees !== false);
	return isValid ? verdict.throughOffset : undefined;
}

/** Drops records between the oldest, which expires first, and the newest. */
function truncateNeeded(needed: readonly AppendedRecord[]): readonly AppendedRecord[] {
	return needed.length > maximumRecordsAfterSnapshot + 1
		? [needed[0]!, ...needed.slice(-maximumRecordsAfterSnapshot)]
		: needed;
}

function addRecord(coverage: SnapshotCoverage, applied: CoverageRecord): SnapshotCoverage {
	const {offset} = applied.record;
	const needed = (coverage.needed.at(-1)?.offset ?? 0) < offset
		? [...coverage.needed, {offset, appendedAtMs: applied.appendedAtMs}]
		: coverage.needed;
	const coveredOffset = snapshotOffsetOf(applied) ?? (offset === 1 ? 0 : undefined);
	const known = coverage.snapshotOffset;
	if (coveredOffset === undefined || (known !== undefined && coveredOffset <= known)) {
		return {...coverage, needed: truncateNeeded(needed)};
	}

	return {...coverage, snapshotOffset: coveredOffset, needed: needed.filter(record => record.offset > coveredOffset)};
}

/** Updates the coverage with the records of one page. */
export function updateCoverage(
	coverage: SnapshotCoverage,
	applied: readonly CoverageRecord[],
	{earliestOffset}: Pick<OffsetPage, 'earliestOffset'>,
): SnapshotCoverage {
	let current: SnapshotCoverage = {...coverage, earliestOffset};
	for (const record of applied) {
		current = addRecord(current, record);
	}

	return current;
}

/** Determines whether a new reader could soon no longer build the configuration from the log, or only slowly. */
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
