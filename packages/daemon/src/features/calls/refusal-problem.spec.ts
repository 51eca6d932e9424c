import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {headerNames} from '@cairnbank/protocol/headers';
import {toRefusalProblem, type Refusal} from './refusal-problem.js';

const refusal: Refusal = {statusCode: 503, reason: 'stopping', detail: 'not run: stopping'};
const ticket = {[headerNames.ticket]: 't'};
const key = {[headerNames.idempotencyKey]: 'k'};
const cases = [
	{method: 'POST', headers: {}, outcome: 'not-run'},
	{method: 'GET', headers: ticket, outcome: 'not-run'},
	{method: 'POST', headers: ticket, outcome: 'unknown'},
	{method: 'DELETE', headers: key, outcome: 'unknown'},
	{method: 'POST', headers: {...ticket, [headerNames.previousAttempts]: '0'}, outcome: 'not-run'},
	{method: 'POST', headers: {...key, [headerNames.previousAttempts]: '1'}, outcome: 'unknown'},
];

describe('refusal before the ticket and key tables are consulted', () => {
	for (const {method, headers, outcome} of cases) {
		it(`should report ${outcome} for ${method} with ${JSON.stringify(headers)}`, () => {
			assert.equal(toRefusalProblem({method, headers}, refusal).outcome, outcome);
		});
	}
});
