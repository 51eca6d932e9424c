import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {countCalls, isClean, type CallEnd} from './call-account.js';

const payment: CallEnd = {
	requestId: 'a', idempotent: false, guard: 'key', told: 'answered', own: true,
};
const once = new Map([['a', 1]]);

describe('account of the demo', () => {
	it('should be clean when what was answered ran once and what was not run did not', () => {
		const counts = countCalls([payment, {
			...payment, requestId: 'b', told: 'not-run', own: false,
		}], once);
		assert.deepEqual([counts.sent, counts.answered, counts.notRun, isClean(counts)], [2, 1, 1, true]);
	});

	it('should see a payment that ran twice, whatever its caller was told', () => {
		const twice = new Map([['a', 2]]);
		assert.equal(countCalls([payment], twice).doubled, 1);
		assert.equal(countCalls([{...payment, told: 'unknown', own: false}], twice).doubled, 1);
	});

	it('should see an answer without a run, and a run of what was told not run', () => {
		assert.equal(isClean(countCalls([payment], new Map())), false);
		assert.equal(countCalls([{...payment, told: 'not-run', own: false}], once).falselyNotRun, 1);
	});

	it('should see broken connections and answers that belong to another', () => {
		assert.equal(countCalls([{...payment, told: 'cut', own: false}, {...payment, own: false}], once).cut, 2);
	});
});
