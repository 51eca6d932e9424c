import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {countCalls, isClean, type CallResult} from './call-counts.js';

const payment: CallResult = {
	requestId: 'a', idempotent: false, guard: 'key', outcome: 'answered', isOwnAnswer: true,
};
const once = new Map([['a', 1]]);

describe('call counts of the demo', () => {
	it('should be clean if answered calls ran once and calls reported as not run did not run', () => {
		const counts = countCalls([payment, {
			...payment, requestId: 'b', outcome: 'not-run', isOwnAnswer: false,
		}], once);
		assert.deepEqual([counts.sent, counts.answered, counts.notRun, isClean(counts)], [2, 1, 1, true]);
	});

	it('should detect a payment that ran twice, whatever its outcome', () => {
		const twice = new Map([['a', 2]]);
		assert.equal(countCalls([payment], twice).doubled, 1);
		assert.equal(countCalls([{...payment, outcome: 'unknown', isOwnAnswer: false}], twice).doubled, 1);
	});

	it('should detect an answer without a run, and a run of a call reported as not run', () => {
		assert.equal(isClean(countCalls([payment], new Map())), false);
		assert.equal(countCalls([{...payment, outcome: 'not-run', isOwnAnswer: false}], once).falselyNotRun, 1);
	});

	it('should detect broken connections and answers that belong to another call', () => {
		assert.equal(countCalls([{...payment, outcome: 'cut', isOwnAnswer: false}, {...payment, isOwnAnswer: false}], once).cut, 2);
	});
});
