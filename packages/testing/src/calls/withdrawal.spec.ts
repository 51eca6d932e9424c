import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {type CallOptions, Deployment, waitFor} from '../harness/index.js';
import type {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';

const slowServiceMs = 2000;
/** Much longer than a request takes to reach its upstream, much shorter than the slow one's service. */
const shortWaitMs = 500;

/** Tells daemons of more slots than there are, so that a request waits at the upstream and not at the daemon. */
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

	/** Sends a second request while a slow one holds the only slot; a fresh deployment, as time-outs lower limits. */
	async function callBehindSlowOne(options: Partial<CallOptions>) {
		deployment = await Deployment.start({
			daemons: 1, services: [{id: 'ledger', upstreams: 1, upstream: {slots: 1, serviceMs: 1}}],
		});
		const [upstream] = deployment.upstreams as [UpstreamStandIn];
		await deployment.publish(inventoryOf(upstream));
		const slow = call({headers: {'x-service-ms': String(slowServiceMs)}});
		await waitFor('the slot is taken', () => upstream.inFlight === 1);
		const told = await call(options);
		await waitFor('the upstream sees the cancellation', () => upstream.counters.cancelled === 1);
		const whole = await slow;
		assert.equal(whole.type, 'answered');
		assert.equal(upstream.runs.countOf(told.requestId), 0);
		return told;
	}

	it('should be withdrawn when its caller leaves', async () => {
		const told = await callBehindSlowOne({timeoutMs: shortWaitMs});
		assert.equal(told.type, 'cut');
	});

	it('should be withdrawn when its deadline passes, and its caller told unknown', async () => {
		const told = await callBehindSlowOne({headers: {[headerNames.deadlineMs]: String(shortWaitMs)}});
		assert.equal(told.type, 'unknown');
	});
});
