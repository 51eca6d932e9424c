import assert from 'node:assert/strict';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {headerNames} from '@cairnbank/protocol';
import {Deployment, waitFor} from '../harness/index.js';
import type {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';

const hedging = {quantile: 0.5, minimumDelayMs: 1, budgetRatio: 0.5};
const answersBeforeHedges = 40;

describe('attempts that a daemon makes', () => {
	let deployment: Deployment;
	let first: UpstreamStandIn;

	before(async () => {
		deployment = await Deployment.start({
			daemons: 1, services: [{id: 'ledger', upstreams: 2, upstream: {slots: 1, serviceMs: 1}}],
		});
		await deployment.publishInventory();
		await deployment.publish({kind: 'rules', classes: [{id: 'hedged', match: {pathPrefix: '/hedged'}, hedging}]});
		[first] = deployment.upstreams as [UpstreamStandIn, UpstreamStandIn];
	});

	afterEach(async () => {
		await Promise.all(deployment.upstreams.map(async upstream => upstream.clearFaults()));
	});

	after(async () => {
		await deployment.stop();
	});

	async function call(path: string, headers: Record<string, string> = {}, timeoutMs?: number) {
		return deployment.caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: `/ledger${path}`, headers, timeoutMs,
		});
	}

	async function metric(name: string): Promise<number> {
		const answer = await fetch(`http://${deployment.daemons[0]!.adminAddress}/metrics`);
		const text = await answer.text();
		const line = text.split('\n').find(one => one.startsWith(name));
		return Number(line?.split(' ').at(-1) ?? 0);
	}

	function runs(requestId: string): number {
		return deployment.countRuns().get(requestId) ?? 0;
	}

	it('should retry an idempotent request on another upstream when one fails fast', async () => {
		await first.setFaults({failFast: true});
		await waitFor('a call that was first sent to the failing upstream', async () => {
			const result = await call('/balance');
			assert.deepEqual([result.type, result.type === 'answered' && result.statusCode], ['answered', 200]);
			return runs(result.requestId) === 2;
		});
	});

	it('should hedge a slow request, cancel the loser and count it', async () => {
		for (let index = 0; index < answersBeforeHedges; index += 1) {
			await call('/hedged');
		}

		await first.setFaults({frozen: true});
		await waitFor('a hedge whose first attempt is stuck', async () => {
			const result = await call('/hedged');
			assert.equal(result.type, 'answered');
			return await metric('cairnbank_hedge_losers_total{service="ledger"}') > 0;
		});
		assert.ok(await metric('cairnbank_attempts_total{service="ledger",kind="hedge"}') > 0);
	});

	it('should not send a request whose deadline has already passed', async () => {
		const result = await call('/balance', {[headerNames.deadlineMs]: '0'});
		assert.equal(result.type, 'not-run');
		assert.equal(runs(result.requestId), 0);
	});
});
