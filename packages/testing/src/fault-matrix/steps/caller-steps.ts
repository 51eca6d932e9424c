/** Step definitions for callers: the requests that they send and the outcomes that they get. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import {parseRequestKind} from '../fixtures/request-kind.js';
import {sendRequest} from '../fixtures/send-request.js';
import {formatOutcome} from '../fixtures/caller-outcome.js';
import type {MatrixWorld} from './matrix-world.js';

when(/^a caller sends a (payment|query)$/u, async function (this: MatrixWorld, kind: string) {
	const request = this.newRequest(parseRequestKind(kind));
	await sendRequest(request, {
		address: this.addressOf('A'),
		onAnswerStarted: async () => this.resumeUpstreams(),
	});
});

then(/^the caller gets outcome (.+)$/u, function (this: MatrixWorld, expected: string) {
	const outcome = this.request.outcomes.at(-1);
	assert.ok(outcome && expected.split(' or ').includes(outcome.type), `got outcome ${outcome ? formatOutcome(outcome) : 'nothing'}, expected ${expected}`);
});

then('the request ran {int} time(s)', function (this: MatrixWorld, expected: number) {
	assert.equal(this.runCountOf(this.request.id), expected);
});
