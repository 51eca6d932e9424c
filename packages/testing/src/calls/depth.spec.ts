import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {countAttemptsAtDepth} from './count-attempts-at-depth.js';

const maximumAttempts = 3;
/** A retry budget decays over time. This many calls keep the two retries of one call in it on a slow machine too. */
const successfulCalls = 20;

describe('retries of calls that pass through several services', () => {
	for (const depth of [1, 3, 9]) {
		it(`should be made only at the lowest of ${depth} layer(s)`, async () => {
			const attempts = await countAttemptsAtDepth({
				depth, calls: 1, budgetRatio: 1, forwardsNoRetry: true, successfulCalls,
			});
			assert.equal(attempts, maximumAttempts);
		});
	}

	it('should stay within the retry budgets when services drop the header that forbids retries', async () => {
		const options = {
			depth: 3, calls: 40, budgetRatio: 0.1, forwardsNoRetry: false,
		};
		const startMs = performance.now();
		const attempts = await countAttemptsAtDepth(options);
		// Each layer adds its budget ratio and a minimum of one retry at the start and one per second.
		const minimumRetries = 1 + ((performance.now() - startMs) / 1000);
		const layers = Array.from({length: options.depth});
		const bound = layers.reduce<number>(sum => (sum * (1 + options.budgetRatio)) + minimumRetries, options.calls);
		assert.ok(attempts <= bound, `${attempts} attempts of at most ${bound}`);
	});
});
