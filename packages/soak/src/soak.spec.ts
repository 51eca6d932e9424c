import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {checks} from './checks.js';
import {drawSchedule, readSchedule} from './schedule.js';
import {SoakRun} from './soak-run.js';

const durationMs = 6000;
/** Schedules that showed a breach once. */
const kept = ['silent-link', 'update-while-stopping', 'answers-another-while-stopping', 'wrong-ids-around-stops'].map(name =>
	readSchedule(fileURLToPath(new URL(`../schedules/${name}.json`, import.meta.url))));

describe('the real program under overlapping faults', () => {
	for (const schedule of [drawSchedule(1, {instances: 3, durationMs}), drawSchedule(2, {instances: 3, durationMs}), ...kept]) {
		it(`should keep its promises through a schedule of seed ${schedule.seed}`, async () => {
			const history = await new SoakRun(schedule).play();
			assert.ok(history.calls.length > 100, `${history.calls.length} requests`);
			for (const {name, breaches} of checks) {
				assert.deepEqual(breaches(history), [], name);
			}
		});
	}

	it('should be the same schedule for the same seed', () => {
		assert.deepEqual(drawSchedule(7), drawSchedule(7));
		assert.notDeepEqual(drawSchedule(7).events, drawSchedule(8).events);
	});
});
