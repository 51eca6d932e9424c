import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, type ClientAccountId} from '@cairnbank/core';
import {digestKey} from '@cairnbank/core/accounts';
import {CrashTable} from '@cairnbank/core/crash-table';
import {createMetrics} from '../../metrics/metrics.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';
import {PoisonGuard, type PoisonGuardOptions} from './poison-guard.js';

const crashesBeforeRefusal = 3;

function callOf(account: string | undefined, key = 'k'): Call {
	const accountFields = account === undefined ? {} : {account: {id: account as ClientAccountId, keys: []}, accountKey: digestKey(key)};
	return {
		requestId: 'r', caller: '10.0.0.1', host: 'h', method: 'GET', target: '/poison', headers: [], ...accountFields,
	} as unknown as Call;
}

/** Returns a guard that has seen a request crash as many upstreams as lead to a refusal. */
async function guardAfterCrashes(call: Call): Promise<PoisonGuard> {
	const clock = new ManualClock();
	const guard = new PoisonGuard({
		context: {clock, logger: {info: () => undefined, warn: () => undefined}, metrics: createMetrics()},
		table: new CrashTable(clock, () => false),
		hasCrashed: async () => true,
		announce: () => undefined,
	} as unknown as PoisonGuardOptions);
	for (let index = 0; index < crashesBeforeRefusal; index++) {
		await guard.handleBrokenConnection(call, {registered: {id: `u${index}`, startedAtMs: 0}} as unknown as Upstream);
	}

	return guard;
}

describe('PoisonGuard', () => {
	it('should refuse a request of an account that crashes upstreams, whichever of its keys it comes with', async () => {
		const guard = await guardAfterCrashes(callOf('shop', 'first'));
		assert.notEqual(guard.admit(callOf('shop', 'second')), undefined);
	});

	it('should not refuse equal requests of other accounts', async () => {
		const guard = await guardAfterCrashes(callOf('shop'));
		assert.equal(guard.admit(callOf('bank')), undefined);
		assert.equal(guard.admit(callOf(undefined)), undefined);
	});

	it('should take all requests without an account together', async () => {
		const guard = await guardAfterCrashes(callOf(undefined));
		assert.notEqual(guard.admit(callOf(undefined)), undefined);
	});
});
