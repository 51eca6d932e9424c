import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareScores} from './compare-scores.js';
import {readScore, type SiteScore} from './site-score.js';

const day = (name: string, worth: number | undefined, overrides: Record<string, unknown> = {}) => ({
	name, G: worth, slot: name.startsWith('quiet') ? 'quiet' : 'trouble', rules: {}, fault: null, gate: true, wall_s: 40, ...overrides,
});

function score(...days: Array<Record<string, unknown>>): SiteScore {
	return readScore({
		id: 'a1', cmd: 'score', head: 'c0ffee', dirty: false, site: 'site', days,
	})!;
}

const sound = score(day('quiet-1', 0.9), day('trouble-1', 0.6), day('trouble-2', 0.8), day('fresh-1', 0.1));

describe('scores of the journal', () => {
	it('should leave out days that are drawn anew, and tell how long the play took', () => {
		assert.deepEqual(sound.days.map(({name}) => name), ['quiet-1', 'trouble-1', 'trouble-2']);
		assert.equal(sound.durationSeconds, 160);
	});

	it('should pass over entries that are no whole score of a clean commit', () => {
		const whole = {
			id: 'a1', cmd: 'score', head: 'c0ffee', dirty: false, site: 'site', days: [day('quiet-1', 0.9)],
		};
		for (const broken of [{...whole, cmd: 'hunt'}, {...whole, dirty: true}, {...whole, days: []}, {...whole, site: null}, 'text', {}]) {
			assert.equal(readScore(broken), undefined);
		}
	});
});

describe('the comparison of two scores', () => {
	it('should take the mean of the days with trouble, and find nothing wrong within the noise', () => {
		const {before, after, problems} = compareScores(sound, score(day('quiet-1', 0.2), day('trouble-1', 0.58), day('trouble-2', 0.78)));
		assert.equal(before!.toFixed(3), '0.700');
		assert.equal(after!.toFixed(3), '0.680');
		assert.deepEqual(problems, []);
	});

	it('should name a fall beyond the noise', () => {
		assert.deepEqual(compareScores(sound, score(day('trouble-1', 0.5), day('trouble-2', 0.8))).problems, ['down by 0.050']);
	});

	it('should name broken rules, faults and failed gates, also of a site that was never scored', () => {
		const after = score(day('quiet-1', 0.9, {rules: {LOST: 3}, gate: false}), day('trouble-1', 0.6, {fault: 'too slow'}));
		assert.deepEqual(compareScores(undefined, after).problems, ['quiet-1: LOST', 'trouble-1: fault', 'quiet-1: gate failed']);
	});

	it('should name a site whose days were not all played to their end', () => {
		assert.deepEqual(compareScores(sound, score(day('trouble-1', undefined), day('trouble-2', 0.8))).problems, ['not played to its end']);
	});
});
