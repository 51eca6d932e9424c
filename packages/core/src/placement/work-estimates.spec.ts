import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WorkEstimates} from './work-estimates.js';

describe('WorkEstimates', () => {
	it('should derive the estimate from the target latency until the first measurement', () => {
		const estimates = new WorkEstimates();
		assert.ok(estimates.expectedMs('r', 100) < 100);
		estimates.update('r', 30, 1);
		assert.equal(estimates.expectedMs('r', 100), 30);
	});

	it('should divide the duration at a slow upstream by its slowness', () => {
		const estimates = new WorkEstimates();
		estimates.update('r', 210, 7);
		assert.equal(estimates.expectedMs('r', 100), 30);
	});

	it('should never exceed the target latency, however long the first answer took', () => {
		const estimates = new WorkEstimates();
		estimates.update('r', 900, 1);
		assert.equal(estimates.expectedMs('r', 100), 100);
	});

	it('should stay near the usual work where a quarter of the upstreams are slow and none reports it', () => {
		const estimates = new WorkEstimates();
		for (let count = 0; count < 400; count++) {
			estimates.update('r', count % 4 === 0 ? 210 : 30, undefined);
		}

		assert.ok(estimates.expectedMs('r', 1000) < 40, `${estimates.expectedMs('r', 1000)}`);
	});

	it('should change little with one outlier', () => {
		const estimates = new WorkEstimates();
		estimates.update('r', 30, 1);
		estimates.update('r', 3000, 1);
		assert.ok(estimates.expectedMs('r', 100) < 35);
	});
});
