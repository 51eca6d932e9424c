import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {checks} from './all-checks.js';
import {generateSchedule, readSchedule} from './schedule.js';
import {SoakRun} from './soak-run.js';

const durationMs = 6000;
/** Schedules that caused a breach in an earlier version. */
const regressionSchedules = ['silent-link', 'update-while-stopping', 'answers-another-while-stopping', 'wrong-ids-around-stops'].map(name =>
	readSchedule(fileURLToPath(new URL(`../schedules/${name}.json`, import.meta.url))));

describe('the real program under overlapping faults', () => {
	for (const schedule of [generateSchedule(1, {instances: 3, durationMs}), generateSchedule(2, {instances: 3, durationMs}), ...regressionSchedules]) {
		it(`should keep its guarantees through a schedule of seed ${schedule.seed}`, async () => {
			const history = await new SoakRun(schedule).execute();
			assert.ok(history.calls.length > 100, `${history.calls.length} requests`);
			for (const {name, findBreaches} of checks) {
				assert.deepEqual(findBreaches(history), [], name);
			}
		});
	}

	it('should generate the same schedule for the same seed', () => {
		assert.deepEqual(generateSchedule(7), generateSchedule(7));
		assert.notDeepEqual(generateSchedule(7).events, generateSchedule(8).events);
	});
});
