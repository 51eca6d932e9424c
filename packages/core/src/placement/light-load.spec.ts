import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isLightlyLoaded} from './light-load.js';

const idle = {
	running: 0, waiting: 0, slots: 2, slowness: 1,
};
const inputs = {report: idle, unreportedInFlight: 0, slots: 2};

describe('isLightlyLoaded', () => {
	it('should hold for an idle upstream of usual speed with any number of slots', () => {
		for (const slots of [1, 2, 16]) {
			assert.equal(isLightlyLoaded({...inputs, slots}), true);
		}
	});

	it('should require a spare slot at an upstream that is not idle', () => {
		assert.equal(isLightlyLoaded({...inputs, report: {...idle, running: 1}}), false);
		assert.equal(isLightlyLoaded({...inputs, report: {...idle, running: 1}, slots: 3}), true);
		assert.equal(isLightlyLoaded({...inputs, unreportedInFlight: 1}), false);
	});

	it('should not hold for a slow upstream or one without a report', () => {
		assert.equal(isLightlyLoaded({...inputs, report: {...idle, slowness: 4}}), false);
		assert.equal(isLightlyLoaded({...inputs, report: undefined}), false);
	});
});
