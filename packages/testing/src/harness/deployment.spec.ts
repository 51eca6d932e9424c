import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment} from './deployment.js';

describe('path from caller to upstream', () => {
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 3}, {id: 'guardian-portal', upstreams: 2}], daemons: 3});
		await deployment.publishInventory();
	});
	after(async () => deployment.stop());

	it('should answer each call completely, from its service, with exactly one run', async () => {
		for (const {callersAddress} of deployment.daemons) {
			const response = await deployment.caller.call({
				instance: callersAddress, path: '/guardian-portal/payouts/1', method: 'POST', body: '{"check":1}',
			});
			assert.equal(response.type, 'answered');
			const {upstream, requestId, receivedBytes} = JSON.parse(response.type === 'answered' ? response.body : '{}') as Record<string, unknown>;
			assert.match(String(upstream), /^guardian-portal-/u);
			assert.deepEqual([requestId, receivedBytes], [response.requestId, 11]);
			assert.equal(deployment.countRuns().get(response.requestId), 1);
		}
	});

	it('should end with exit code 0 after SIGTERM', async () => {
		const stopping = await deployment.startDaemon('entry-stopping', 'zone-a');
		assert.deepEqual(await stopping.stop(), {code: 0, signal: undefined});
	});
});
