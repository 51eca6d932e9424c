import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {type CallOptions, Deployment, waitFor} from '../harness/index.js';
import type {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';

const slowServiceMs = 2000;
/** Much longer than a request takes to reach its upstream, and much shorter than the service time of the slow request. */
const shortWaitMs = 500;

/** Lists more slots than the upstream has, so that a request waits at the upstream and not at the daemon. */
function inventoryOf(upstream: UpstreamStandIn) {
	const described = {
		id: 'ledger-1', address: upstream.address, availabilityZone: 'zone-a', slots: 4, connections: 400,
	};
	return {kind: 'inventory', services: [{id: 'ledger', upstreams: [described]}]};
}

describe('a request that waits at its upstream', () => {
	let deployment: Deployment;

	afterEach(async () => {
		await deployment.stop();
	});

	async function call(options: Partial<CallOptions>) {
		return deployment.caller.call({instance: deployment.daemons[0]!.callersAddress, path: '/ledger/balance', ...options});
	}

	/** Sends a request while a slow one occupies the only slot. Starts a new deployment each time, because timeouts lower the concurrency limits. */
	async function callBehindSlowRequest(options: Partial<CallOptions>) {
		deployment = await Deployment.start({
			daemons: 1, services: [{id: 'ledger', upstreams: 1, upstream: {slots: 1, serviceMs: 1}}],
		});
		const [upstream] = deployment.upstreams as [UpstreamStandIn];
		await deployment.publish(inventoryOf(upstream));
		const slow = call({headers: {'x-service-ms': String(slowServiceMs)}});
		await waitFor('the slot is occupied', () => upstream.inFlight === 1);
		const result = await call(options);
		await waitFor('the upstream sees the cancellation', () => upstream.counters.cancelled === 1);
		const slowResult = await slow;
		assert.equal(slowResult.type, 'answered');
		assert.equal(upstream.runs.countOf(result.requestId), 0);
		return result;
	}

	it('should be cancelled when its caller disconnects', async () => {
		const result = await callBehindSlowRequest({timeoutMs: shortWaitMs});
		assert.equal(result.type, 'cut');
	});

	it('should be cancelled and end as unknown when its deadline passes', async () => {
		const result = await callBehindSlowRequest({headers: {[headerNames.deadlineMs]: String(shortWaitMs)}});
		assert.equal(result.type, 'unknown');
	});
});
