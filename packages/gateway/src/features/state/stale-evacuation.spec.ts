import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {SimulatedStateFleet} from './simulated-state-fleet.js';

const zone = 'giza';
/** Time within which the state of the store is in force on all instances. */
const convergenceMs = 2000;

describe('an evacuation that was cancelled while one instance could not reach the store', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	/** Evacuates a zone and cancels that while one instance is cut off and all others start again. The cut off one then reaches the others, not the store. */
	async function cancelUnseen(size: number): Promise<SimulatedStateFleet> {
		const fleet = new SimulatedStateFleet(size);
		await fleet.advance(2000);
		fleet.store.evacuate(zone, true);
		await fleet.advance(2000);
		fleet.disconnected.add(0);
		fleet.isolated.add(0);
		fleet.store.evacuate(zone, false);
		for (let index = 1; index < size; index++) {
			fleet.restart(index);
		}

		await fleet.advance(convergenceMs);
		fleet.isolated.clear();
		await fleet.advance(convergenceMs);
		return fleet;
	}

	for (const size of [2, 5, 13]) {
		// Guards against a zone that stays empty for good on the report of an instance that missed the cancellation.
		it(`should neither come back on instances that read the store nor stay on the one that doesn't, with ${size} instances`, async () => {
			const fleet = await cancelUnseen(size);
			assert.deepEqual(fleet.instances.map(({observed}) => [...observed.emptied]), fleet.instances.map(() => []));
			fleet.disconnected.clear();
			await fleet.advance(convergenceMs);
			assert.deepEqual(fleet.instances.map(({observed}) => [...observed.emptied]), fleet.instances.map(() => []));
			fleet.stop();
		});
	}

	it('should take effect again once it is ordered anew', async () => {
		const fleet = await cancelUnseen(5);
		fleet.store.evacuate(zone, true);
		await fleet.advance(convergenceMs);
		assert.deepEqual(fleet.instances.map(({observed}) => [...observed.emptied]), fleet.instances.map(() => [zone]));
		fleet.stop();
	});
});
