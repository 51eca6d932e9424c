import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {WorkEstimates} from './work-estimates.js';

describe('WorkEstimates', () => {
	it('should guess from the target latency until something is measured', () => {
		const work = new WorkEstimates();
		assert.ok(work.expectedMs('r', 100) < 100);
		work.learn('r', 30, 1);
		assert.equal(work.expectedMs('r', 100), 30);
	});

	it('should set what a slow upstream took against its slowness', () => {
		const work = new WorkEstimates();
		work.learn('r', 210, 7);
		assert.equal(work.expectedMs('r', 100), 30);
	});

	it('should never pass the target latency, whatever the first answer took', () => {
		const work = new WorkEstimates();
		work.learn('r', 900, 1);
		assert.equal(work.expectedMs('r', 100), 100);
	});

	it('should stay near the usual where a quarter of the upstreams is slow and none tells so', () => {
		const work = new WorkEstimates();
		for (let count = 0; count < 400; count++) {
			work.learn('r', count % 4 === 0 ? 210 : 30, undefined);
		}

		assert.ok(work.expectedMs('r', 1000) < 40, `${work.expectedMs('r', 1000)}`);
	});

	it('should not be moved far by one outlier', () => {
		const work = new WorkEstimates();
		work.learn('r', 30, 1);
		work.learn('r', 3000, 1);
		assert.ok(work.expectedMs('r', 100) < 35);
	});
});
