import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checks} from './checks.js';
import {drawSchedule} from './schedule.js';
import {SoakRun} from './soak-run.js';

const durationMs = 6000;
/** With instances as drawn: payments at an upstream whose link falls silent as their instance is told to stop. */
const silentLinkSeed = 3;

describe('the real program under overlapping faults', () => {
	for (const schedule of [drawSchedule(1, {instances: 3, durationMs}), drawSchedule(2, {instances: 3, durationMs}), drawSchedule(silentLinkSeed)]) {
		it(`should keep its promises through the schedule of seed ${schedule.seed}`, async () => {
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
