import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
	ManualClock, type ClientAccountId, type Fingerprint, type UpstreamId,
} from '@cairnbank/core';
import {digestKey} from '@cairnbank/core/accounts';
import type {CrashRecord} from '@cairnbank/core/crash-record';
import {CrashTable} from '@cairnbank/core/crash-table';
import {unknownBuild} from '@cairnbank/core/upstream-build';
import {createMetrics} from '../../metrics/metrics.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';
import {PoisonGuard, type PoisonGuardOptions} from './poison-guard.js';
import {suspectOf} from './suspect-request.js';

const crashesBeforeRefusal = 3;

function callOf(account: string | undefined, key = 'k'): Call {
	const accountFields = account === undefined ? {} : {account: {id: account as ClientAccountId, keys: []}, accountKey: digestKey(key)};
	return {
		requestId: 'r', caller: '10.0.0.1', host: 'h', method: 'GET', target: '/poison', headers: [], ...accountFields,
	} as unknown as Call;
}

function upstreamOf(id: string): Upstream {
	const registered = {
		id, startedAtMs: 0, service: 'ledger', version: 'v1',
	};
	return {registered} as unknown as Upstream;
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
		await guard.handleBrokenConnection(call, upstreamOf(`u${index}`));
	}

	return guard;
}

describe('PoisonGuard', () => {
	it('should refuse a request of an account that crashes upstreams, whichever of its keys it comes with', async () => {
		const guard = await guardAfterCrashes(callOf('shop', 'first'));
		assert.notEqual(guard.admit(callOf('shop', 'second'), upstreamOf('next')), undefined);
	});

	it('should not refuse equal requests of other accounts', async () => {
		const guard = await guardAfterCrashes(callOf('shop'));
		assert.equal(guard.admit(callOf('bank'), upstreamOf('next')), undefined);
		assert.equal(guard.admit(callOf(undefined), upstreamOf('next')), undefined);
	});

	it('should take all requests without an account together', async () => {
		const guard = await guardAfterCrashes(callOf(undefined));
		assert.notEqual(guard.admit(callOf(undefined), upstreamOf('next')), undefined);
	});

	describe('with requests that were abandoned while an upstream was running them', () => {
		const upstream = upstreamOf('u1');
		let hasCrashed: boolean;
		let checks: number;
		let announced: CrashRecord[];
		let watched: Upstream[];
		let guard: PoisonGuard;

		beforeEach(() => {
			hasCrashed = true;
			checks = 0;
			announced = [];
			watched = [];
			const clock = new ManualClock();
			guard = new PoisonGuard({
				context: {clock, logger: {info: () => undefined, warn: () => undefined}, metrics: createMetrics()},
				table: new CrashTable(clock, () => false),
				async hasCrashed() {
					checks += 1;
					return hasCrashed;
				},
				watch(watchedUpstream: Upstream) {
					watched.push(watchedUpstream);
				},
				announce(record: CrashRecord) {
					announced.push(record);
				},
			} as unknown as PoisonGuardOptions);
		});

		function abandon(call = callOf(undefined), isAnswered = false): void {
			guard.recordAbandoned(suspectOf(call), upstream, {isAnswered});
		}

		it('should count and report a crash that only the loss of another connection shows', async () => {
			abandon();
			await guard.handleLostConnection(upstream);
			assert.deepEqual(announced.map(({crashes}) => crashes.map(crash => crash.upstream)), [['u1']]);
		});

		it('should check the upstream once if it loses several connections', async () => {
			abandon();
			await Promise.all([guard.handleLostConnection(upstream), guard.handleLostConnection(upstream)]);
			assert.deepEqual([checks, announced.length], [1, 1]);
		});

		it('should count no crash if the upstream has only closed a connection', async () => {
			hasCrashed = false;
			abandon();
			await guard.handleLostConnection(upstream);
			assert.deepEqual(announced, []);
		});

		it('should not check an upstream that was running none', async () => {
			abandon();
			await guard.handleLostConnection(upstreamOf('u2'));
			assert.equal(checks, 0);
		});

		it('should count no crash for one that the upstream has answered', async () => {
			abandon();
			guard.forgetAbandoned('r', upstream);
			await guard.handleLostConnection(upstream);
			assert.deepEqual(announced, []);
		});

		it('should count a crash that another instance reports for another request', () => {
			abandon();
			guard.receive([{fingerprint: 'another-another-anothe' as Fingerprint, crashes: [{upstream: 'u1' as UpstreamId, build: unknownBuild, atMs: 0}], runs: []}]);
			assert.equal(announced.length, 1);
		});

		it('should count a crash that an attempt of another request shows, and each crash once', async () => {
			abandon();
			await guard.handleBrokenConnection(callOf('shop'), upstream);
			await guard.handleLostConnection(upstream);
			assert.equal(announced.length, 2);
		});

		it('should watch the upstream of one that has no answer, and not of one that another attempt has answered', () => {
			abandon(callOf(undefined), true);
			assert.deepEqual(watched, []);
			abandon();
			assert.deepEqual(watched, [upstream]);
		});
	});
});
