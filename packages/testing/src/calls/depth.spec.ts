import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {attemptsAtDepth} from './attempts-at-depth.js';

const maximumAttempts = 3;
/** A budget fades with time: enough of them leave the two retries of one call in it on a slow machine too. */
const healthyCalls = 20;

describe('retries of calls that pass through several services', () => {
	for (const depth of [1, 3, 9]) {
		it(`should be made at the lowest layer alone, ${depth} deep`, async () => {
			const attempts = await attemptsAtDepth({
				depth, calls: 1, budgetRatio: 1, passesMark: true, healthyCalls,
			});
			assert.equal(attempts, maximumAttempts);
		});
	}

	it('should stay within the budgets where services drop the mark', async () => {
		const options = {
			depth: 3, calls: 40, budgetRatio: 0.1, passesMark: false,
		};
		const startMs = performance.now();
		const attempts = await attemptsAtDepth(options);
		// Each layer adds its share, and a floor of one at first and one each second.
		const floor = 1 + ((performance.now() - startMs) / 1000);
		const layers = Array.from({length: options.depth});
		const bound = layers.reduce<number>(sum => (sum * (1 + options.budgetRatio)) + floor, options.calls);
		assert.ok(attempts <= bound, `${attempts} attempts of at most ${bound}`);
	});
});
