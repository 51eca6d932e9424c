/** Step definitions for several concurrent callers. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import {waitFor} from '../../harness/index.js';
import {parseRequestKind} from '../fixtures/request-kind.js';
import {createBindingHeaders} from './hold-request.js';
import type {MatrixWorld} from './matrix-world.js';

when(/^(\d+) callers have each sent a (payment.*|query) through instances? (\w+(?: and \w+)*)$/u, async function (this: MatrixWorld, count: string, kindText: string, names: string) {
	const kind = parseRequestKind(kindText);
	const instances = names.split(' and ');
	for (let index = 0; index < Number(count); index++) {
		const instance = instances[index % instances.length]!;
		this.newRequest(kind, await createBindingHeaders(this, kind, instance));
		if (kind === 'payment') {
			this.startSending({address: this.addressOf(instance)});
		} else {
			// A payment with a ticket is sent twice, and both attempts stay open.
			this.startSending({address: this.addressOf('A'), omitPreviousAttempts: true});
			this.startSending({address: this.addressOf('B'), omitPreviousAttempts: true});
		}
	}

	await this.upstreams[0]!.gate.waitForArrivals(Number(count));
});

when('the upstream resumes the held requests in reverse order', async function (this: MatrixWorld) {
	await this.resumeUpstreams(true);
});

when('the upstream sees the connection close before its answer ends', async function (this: MatrixWorld) {
	await waitFor('an aborted answer', () => this.upstreams.some(upstream => upstream.abortedAnswerCount > 0));
});

then(/^each caller gets outcome (.+)$/u, function (this: MatrixWorld, expected: string) {
	const outcomes = this.requests.flatMap(request => request.outcomes);
	assert.ok(outcomes.length >= this.requests.length);
	assert.deepEqual(new Set(outcomes.map(outcome => outcome.type)), new Set([expected]));
});

then('each request ran {int} time(s)', function (this: MatrixWorld, expected: number) {
	for (const request of this.requests) {
		assert.equal(this.runCountOf(request.id), expected);
	}
});
