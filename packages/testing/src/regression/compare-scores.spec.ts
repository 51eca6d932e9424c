import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareScores} from './compare-scores.js';
import {readScore, type SiteScore} from './site-score.js';

const day = (name: string, dayScore: number | undefined, overrides: Record<string, unknown> = {}) => ({
	name, G: dayScore, slot: name.startsWith('quiet') ? 'quiet' : 'trouble', rules: {}, fault: null, gate: true, wall_s: 40, ...overrides,
});

function score(...days: Array<Record<string, unknown>>): SiteScore {
	return readScore({
		id: 'a1', cmd: 'score', head: 'c0ffee', dirty: false, site: 'site', days,
	})!;
}

const baseline = score(day('quiet-1', 0.9), day('trouble-1', 0.6), day('trouble-2', 0.8), day('fresh-1', 0.1));

describe('scores of the journal', () => {
	it('should omit randomly generated days, and sum the duration of all days', () => {
		assert.deepEqual(baseline.days.map(({name}) => name), ['quiet-1', 'trouble-1', 'trouble-2']);
		assert.equal(baseline.durationSeconds, 160);
	});

	it('should skip entries that are not a complete score of a clean commit', () => {
		const valid = {
			id: 'a1', cmd: 'score', head: 'c0ffee', dirty: false, site: 'site', days: [day('quiet-1', 0.9)],
		};
		for (const invalid of [{...valid, cmd: 'hunt'}, {...valid, dirty: true}, {...valid, days: []}, {...valid, site: null}, 'text', {}]) {
			assert.equal(readScore(invalid), undefined);
		}
	});
});

describe('comparison of two scores', () => {
	it('should compare the means of the days with trouble, and report no problem within the noise', () => {
		const {before, after, problems} = compareScores(baseline, score(day('quiet-1', 0.2), day('trouble-1', 0.58), day('trouble-2', 0.78)));
		assert.equal(before!.toFixed(3), '0.700');
		assert.equal(after!.toFixed(3), '0.680');
		assert.deepEqual(problems, []);
	});

	it('should report a decrease beyond the noise', () => {
		assert.deepEqual(compareScores(baseline, score(day('trouble-1', 0.5), day('trouble-2', 0.8))).problems, ['down by 0.050']);
	});

	it('should report broken rules, faults and failed gates, also for a site without an earlier score', () => {
		const after = score(day('quiet-1', 0.9, {rules: {LOST: 3}, gate: false}), day('trouble-1', 0.6, {fault: 'too slow'}));
		assert.deepEqual(compareScores(undefined, after).problems, ['quiet-1: LOST', 'trouble-1: fault', 'quiet-1: gate failed']);
	});

	it('should report a site whose days were not all completed', () => {
		assert.deepEqual(compareScores(baseline, score(day('trouble-1', undefined), day('trouble-2', 0.8))).problems, ['not all days were completed']);
	});
});
