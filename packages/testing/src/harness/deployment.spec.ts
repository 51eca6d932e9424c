import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {Deployment} from './deployment.js';

describe('whole path', () => {
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 3}, {id: 'guardian-portal', upstreams: 2}], daemons: 3});
		await deployment.publishInventory();
	});
	after(async () => deployment.stop());

	it('should answer each call whole, from its service, with one run', async () => {
		for (const {callersAddress: callers} of deployment.daemons) {
			const told = await deployment.caller.call({
				instance: callers, path: '/guardian-portal/payouts/1', method: 'POST', body: '{"check":1}',
			});
			assert.equal(told.type, 'answered');
			const {upstream, requestId, receivedBytes} = JSON.parse(told.type === 'answered' ? told.body : '{}') as Record<string, unknown>;
			assert.match(String(upstream), /^guardian-portal-/u);
			assert.deepEqual([requestId, receivedBytes], [told.requestId, 11]);
			assert.equal(deployment.countRuns().get(told.requestId), 1);
		}
	});

	it('should end with exit code 0 after SIGTERM', async () => {
		const stopping = await deployment.startDaemon('entry-stopping', 'zone-a');
		assert.deepEqual(await stopping.stop(), {code: 0, signal: undefined});
	});
});
