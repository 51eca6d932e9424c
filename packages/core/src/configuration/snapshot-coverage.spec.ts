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

function folded(offset: number, appendedAtMs: number, verdict = accepted): CoverageRecord {
	return {record: {offset, value: {}}, appendedAtMs, verdict};
}

function snapshot(offset: number, throughOffset: number, appendedAtMs: number, agrees?: boolean): CoverageRecord {
	return folded(offset, appendedAtMs, {type: 'snapshot-seen', throughOffset, agrees});
}

function cover(records: readonly CoverageRecord[], earliestOffset = 1) {
	return updateCoverage(unknownCoverage, records, {earliestOffset});
}

describe('snapshot coverage', () => {
	it('should ask for a snapshot once half of the retention of the oldest needed record has passed', () => {
		const coverage = cover([folded(1, 0), folded(2, 400)]);
		assert.equal(assessSnapshotNeed(coverage, 499, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(coverage, 500, retentionMs), 'expires-soon');
	});

	it('should count from the first record after the newest snapshot, and then from the snapshot itself', () => {
		const coverage = cover([folded(1, 0), folded(2, 300), snapshot(3, 1, 450)]);
		assert.equal(assessSnapshotNeed(coverage, 799, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(coverage, 800, retentionMs), 'expires-soon');
		const later = updateCoverage(coverage, [snapshot(4, 3, 900)], {earliestOffset: 1});
		assert.equal(assessSnapshotNeed(later, 1399, retentionMs), 'none');
		assert.equal(assessSnapshotNeed(later, 1400, retentionMs), 'expires-soon');
	});

	it('should not count a snapshot that disagrees, nor one that is older than another', () => {
		assert.equal(assessSnapshotNeed(cover([folded(1, 0), snapshot(2, 1, 100, false)]), 500, retentionMs), 'expires-soon');
		const coverage = cover([folded(1, 0), folded(2, 100), snapshot(3, 2, 400), snapshot(4, 1, 450)]);
		assert.equal(assessSnapshotNeed(coverage, 899, retentionMs), 'none');
	});

	it('should tell what has expired, what it cannot know, and when reading takes long', () => {
		assert.equal(assessSnapshotNeed(cover([folded(1, 0), folded(2, 0)], 2), 1, retentionMs), 'expired');
		assert.equal(assessSnapshotNeed(cover([folded(7, 0)], 5), 1, retentionMs), 'unknown-coverage');
		const many = Array.from({length: maximumRecordsAfterSnapshot + 1}, (_, index) => folded(index + 1, 0));
		assert.equal(assessSnapshotNeed(cover(many), 1, retentionMs), 'many-records');
		assert.equal(assessSnapshotNeed(cover(many.slice(1), 1), 1, retentionMs), 'unknown-coverage');
	});

	it('should give each instance a turn of its own that passes on with each snapshot', () => {
		const instances = Array.from({length: 19}, (_, index) => instanceIdSchema.parse(`entry-${index}`));
		const firsts = new Set<string>();
		for (let offset = 0; offset < 100; offset += 1) {
			const turns = instances.map(self => snapshotWriterRank(self, instances, offset));
			assert.deepEqual(turns.toSorted((left, right) => left - right), instances.map((_, index) => index));
			firsts.add(instances[turns.indexOf(0)]!);
		}

		assert.ok(firsts.size > instances.length / 2);
	});
});
