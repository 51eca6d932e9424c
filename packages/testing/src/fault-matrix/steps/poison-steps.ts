/** Step definitions for a request that crashes each upstream that runs it. */
import assert from 'node:assert/strict';
import {Then as then, When as when} from '@cucumber/cucumber';
import {sendRequest} from '../fixtures/send-request.js';
import type {MatrixWorld} from './matrix-world.js';

const poisonBody = new TextEncoder().encode('{"amount":"poison"}');

// Each attempt is a separate request with its own id and the same body, because the caller uses neither a ticket nor a key.
when(/^a caller sends a poison payment (\d+) times through (.+)$/u, async function (this: MatrixWorld, times: string, names: string) {
	const instances = names.split(' and ');
	for (let sent = 0; sent < Number(times); sent++) {
		const request = {...this.newRequest('payment', {'x-poison': 'yes'}), body: poisonBody};
		this.requests[this.requests.length - 1] = request;
		await sendRequest(request, {address: this.addressOf(instances[sent % instances.length]!), omitPreviousAttempts: true});
	}
});

then('at most {int} upstreams have crashed', function (this: MatrixWorld, most: number) {
	const crashed = this.upstreams.filter(upstream => upstream.crashCount > 0);
	assert.ok(crashed.length > 0 && crashed.length <= most, `${crashed.length} upstreams crashed`);
});
