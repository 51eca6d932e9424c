/** Steps about several callers at the same time. */
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
		const first = instances[index % instances.length]!;
		this.newRequest(kind, await createBindingHeaders(this, kind, first));
		if (kind === 'payment') {
			this.startSending({address: this.address(first)});
		} else {
			// Those with a ticket are sent twice, and both sends are open.
			this.startSending({address: this.address('A'), omitPreviousAttempts: true});
			this.startSending({address: this.address('B'), omitPreviousAttempts: true});
		}
	}

	await this.upstreams[0]!.gate.waitForArrivals(Number(count));
});

when('the upstream goes on in reverse order', async function (this: MatrixWorld) {
	await this.resumeUpstreams(true);
});

when('the upstream sees its answer given up', async function (this: MatrixWorld) {
	await waitFor('an answer that is given up', () => this.upstreams.some(upstream => upstream.abortedAnswerCount > 0));
});

then(/^each caller is told (.+)$/u, function (this: MatrixWorld, expected: string) {
	const outcomes = this.requests.flatMap(request => request.outcomes);
	assert.ok(outcomes.length >= this.requests.length);
	assert.deepEqual(new Set(outcomes.map(one => one.type)), new Set([expected]));
});

then('each ran {int} time(s)', function (this: MatrixWorld, expected: number) {
	for (const request of this.requests) {
		assert.equal(this.runCountOf(request.id), expected);
	}
});
