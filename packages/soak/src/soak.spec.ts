import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {findAllBreaches, saveFindings} from './findings.js';
import {generateSchedule, readSchedule} from './schedule.js';
import {SoakRun} from './soak-run.js';

const durationMs = 6000;
/** Schedules that caused a breach in an earlier version. */
const regressionSchedules = ['silent-link', 'update-while-stopping', 'answers-another-while-stopping', 'wrong-ids-around-stops'].map(name =>
	readSchedule(fileURLToPath(new URL(`../schedules/${name}.json`, import.meta.url))));

describe('the real program under overlapping faults', () => {
	for (const schedule of [generateSchedule(1, {instances: 3, durationMs}), generateSchedule(2, {instances: 3, durationMs}), ...regressionSchedules]) {
		it(`should keep its guarantees through a schedule of seed ${schedule.seed}`, async () => {
			const run = new SoakRun(schedule);
			const history = await run.execute();
			assert.ok(history.calls.length > 100, `${history.calls.length} requests`);
			const breaches = findAllBreaches(history);
			assert.deepEqual(breaches, [], breaches.length === 0 ? '' : `saved in ${saveFindings(schedule, history, breaches, run)}: ${breaches.join('; ')}`);
		});
	}

	it('should generate the same schedule for the same seed', () => {
		assert.deepEqual(generateSchedule(7), generateSchedule(7));
		assert.notDeepEqual(generateSchedule(7).events, generateSchedule(8).events);
	});
});
