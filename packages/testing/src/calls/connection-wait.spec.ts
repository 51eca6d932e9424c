import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {Deployment, waitFor} from '../harness/index.js';

const slow = {'x-service-ms': '500'};

describe('a call that waits for a connection', () => {
	let deployment: Deployment;

	before(async () => {
		deployment = await Deployment.start({daemons: 1, services: [{id: 'ledger', upstreams: 2, upstream: {slots: 1}}]});
		const upstreams = deployment.upstreams.map(({address, options: {id, availabilityZone, slots}}) => ({
			id, address, availabilityZone, slots, connections: 1,
		}));
		await deployment.publish({kind: 'inventory', services: [{id: 'ledger', upstreams}]});
	});

	after(async () => {
		await deployment.stop();
	});

	async function call(headers: Record<string, string>) {
		return deployment.caller.call({instance: deployment.daemons[0]!.callersAddress, path: '/ledger/balance', headers});
	}

	it('should end as not run when its deadline passes first', async () => {
		const occupying = [call(slow), call(slow)];
		await waitFor('both connections are in use', () => deployment.upstreams.every(({inFlight}) => inFlight === 1));
		const result = await call({[headerNames.deadlineMs]: '30'});
		const occupyingResults = await Promise.all(occupying);
		assert.deepEqual(occupyingResults.map(({type}) => type), ['answered', 'answered']);
		assert.equal(result.type, 'not-run');
		assert.equal(deployment.countRuns().get(result.requestId), undefined);
	});
});
