import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {instanceIdSchema} from '../model/ids.js';
import {
	updateCoverage, assessSnapshotNeed, maximumRecordsAfterSnapshot, unknownCoverage, type CoverageRecord,
} from './snapshot-coverage.js';
import {snapshotWriterRank} from './snapshot-writer-rank.js';
import {type RecordVerdict} from './record-verdict.js';

const retentionMs = 1000;

const accepted: RecordVerdict = {type: 'accepted'};

function appliedRecord(offset: number, appendedAtMs: number, verdict = accepted): CoverageRecord {
	return {record: {offset, value: {}}, appendedAtMs, verdict};
}

function snapshot(offset: number, throughOffset: number, appendedAtMs: number, agrees?: boolean): CoverageRecord {
	return appliedRecord(offset, appendedAtMs, {type: 'snapshot-seen', throughOffset, agrees});
}

function cover(records: readonly CoverageRecord[], earliestOffset = 1) {
	return updateCoverage(unknownCoverage, records, {earliestOffset});
}

describe('snapshot coverage', () => {
	it('should require a snapshot once half of the retention of the oldest needed record has passed', () => {
		const coverage = cover([appliedRecord(1, 0), appliedRecord(2, 400)]);
		assert.equal(assessSnapshotNeed(coverage, 499, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(coverage, 500, retentionMs), 'expires-soon');
	});

	it('should measure age from the first record after the newest snapshot\'s offset', () => {
		const coverage = cover([appliedRecord(1, 0), appliedRecord(2, 300), snapshot(3, 1, 450)]);
		assert.equal(assessSnapshotNeed(coverage, 799, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(coverage, 800, retentionMs), 'expires-soon');
		const later = updateCoverage(coverage, [snapshot(4, 3, 900)], {earliestOffset: 1});
		assert.equal(assessSnapshotNeed(later, 1399, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(later, 1400, retentionMs), 'expires-soon');
	});

	it('should ignore a snapshot that does not match the state and one that is older than the newest', () => {
		assert.equal(assessSnapshotNeed(cover([appliedRecord(1, 0), snapshot(2, 1, 100, false)]), 500, retentionMs), 'expires-soon');
		const coverage = cover([appliedRecord(1, 0), appliedRecord(2, 100), snapshot(3, 2, 400), snapshot(4, 1, 450)]);
		assert.equal(assessSnapshotNeed(coverage, 899, retentionMs), 'none');
	});

	it('should detect expired records, unknown coverage and too many records', () => {
		assert.equal(assessSnapshotNeed(cover([appliedRecord(1, 0), appliedRecord(2, 0)], 2), 1, retentionMs), 'expired');
		assert.equal(assessSnapshotNeed(cover([appliedRecord(7, 0)], 5), 1, retentionMs), 'unknown-coverage');
		const many = Array.from({length: maximumRecordsAfterSnapshot + 1}, (_, index) => appliedRecord(index + 1, 0));
		assert.equal(assessSnapshotNeed(cover(many), 1, retentionMs), 'many-records');
		assert.equal(assessSnapshotNeed(cover(many.slice(1), 1), 1, retentionMs), 'unknown-coverage');
	});

	it('should give each instance a rank of its own that changes with each snapshot', () => {
		const instances = Array.from({length: 19}, (_, index) => instanceIdSchema.parse(`entry-${index}`));
		const writers = new Set<string>();
		for (let offset = 0; offset < 100; offset += 1) {
			const ranks = instances.map(self => snapshotWriterRank(self, instances, offset));
			assert.deepEqual(ranks.toSorted((left, right) => left - right), instances.map((_, index) => index));
			writers.add(instances[ranks.indexOf(0)]!);
		}

		assert.ok(writers.size > instances.length / 2);
	});
});
