import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment, waitFor} from '../harness/index.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

const shortWaitMs = 1000;

describe('limit of requests in flight at an instance', () => {
	let deployment: Deployment;
	const silent = new RawUpstream([{text: '', end: 'keep'}]);

	before(async () => {
		await silent.start();
		deployment = await Deployment.start({services: [], daemons: 1, settings: {calls: {maximumInFlight: 1}}});
		await deployment.publish({
			kind: 'inventory',
			services: [{
				id: 'ledger',
				upstreams: [{
					id: 'silent', address: silent.address, availabilityZone: 'zone-a', slots: 4, connections: 400,
				}],
			}],
		});
	});

	after(async () => {
		await deployment.stop();
		await silent.stop();
	});

	async function call(timeoutMs: number) {
		return deployment.caller.call({instance: deployment.daemons[0]!.callersAddress, path: '/ledger/balance', timeoutMs});
	}

	it('should refuse a call beyond the limit as not run, and accept calls again afterwards', async () => {
		const first = call(shortWaitMs);
		await waitFor('the first call is in flight', () => silent.requests === 1);
		const second = await call(shortWaitMs);
		assert.equal(second.type, 'not-run');
		assert.match(second.body, /instance-busy/);
		assert.equal(silent.requests, 1);
		await first;
		await waitFor('calls are accepted again', async () => {
			await call(shortWaitMs);
			return silent.requests === 2;
		});
	});
});
