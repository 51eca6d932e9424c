import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {ManualClock, type ClientAccountId} from '@cairnbank/core';
import type {ClientAccount} from '@cairnbank/core/accounts';
import {ownerOrder, type LimitMessage} from '@cairnbank/core/account-limits';
import {createRandomSource} from '@cairnbank/core/random';
import {RouteTable, type GatewayConfiguration, type Route} from '@cairnbank/core/routes';
import type {Context} from '../../kernel/context.js';
import {createMetrics} from '../../metrics/metrics.js';
import type {Outcome} from '../calls/outcome.js';
import {AccountLimitsTask} from './account-limits-task.js';

const account: ClientAccount = {id: 'shop' as ClientAccountId, keys: [], rateLimit: {requestsPerSecond: 1, burst: 1}};
/** The first one decides on the account. */
const [owner, later] = ownerOrder(account.id, ['10.0.0.1', '10.0.0.2']) as [string, string];

function configurationOf(accounts: GatewayConfiguration['accounts']): RouteTable {
	return new RouteTable({
		version: 1, services: [], hosts: [], accounts,
		limits: {
			maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	});
}

const route: Route = {
	id: 'pay', pathPrefix: '/pay/', idempotent: true, timeoutMs: 1000, targetLatencyMs: 100, priority: 0, maximumAttempts: 2, services: [],
};

function callOf(caller: ClientAccount, deadlineAtMs: number) {
	return {
		account: caller, route, receivedAtMs: deadlineAtMs - 50, deadlineAtMs,
	};
}

function createTask(host: string, others = [host === owner ? later : owner], isKnown = true) {
	const clock = new ManualClock();
	const sent: LimitMessage[] = [];
	const metrics = createMetrics();
	const context = {
		clock, metrics, random: createRandomSource(1), logger: {info() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		settings: {host, accountLimits: {windowSeconds: 5, excessRatio: 0.1, slackRequests: 20}},
	} as unknown as Context;
	const task = new AccountLimitsTask({
		context,
		fleet: () => ({
			others, suspected: [], zoneOf: () => undefined, instances: others.length + 1, isKnown, isAlone: false, hasHeardOthers: true,
		}),
		send(message) {
			sent.push(message);
		},
		workMs: () => 20,
	});
	return {
		clock, sent, metrics, task,
	};
}

describe('account limits task', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	it('should run no timer where no account is limited', async () => {
		const intervals = mock.method(globalThis, 'setInterval');
		const {task} = createTask(later);
		await task.start();
		task.applyConfiguration(configurationOf(undefined));
		task.applyConfiguration(configurationOf([{id: account.id, keys: []}]));
		assert.equal(intervals.mock.callCount(), 0);
		task.applyConfiguration(configurationOf([account]));
		assert.equal(intervals.mock.callCount(), 1);
		task.stop();
		intervals.mock.restore();
	});

	it('should answer at the deadline of a call that waits, and return the token that comes later', async () => {
		const {clock, sent, task} = createTask(later);
		task.applyConfiguration(configurationOf([account]));
		const admittance = task.admit(callOf(account, clock.monotonicMs() + 50));
		const [ask] = sent;
		assert.equal(ask?.type, 'limit-ask');
		clock.advance(50);
		mock.timers.tick(50);
		assert.deepEqual(await admittance, {type: 'refused', outcome: {type: 'not-run', reason: 'account-use-unknown', retryAfterMs: 0}});
		task.receive({
			type: 'limit-answer', sequence: ask.sequence, answer: {
				granted: 1, tokenInMs: 0, retryAfterMs: 0, isCertain: true,
			},
		}, owner);
		assert.deepEqual(sent.at(-1), {type: 'limit-return', account: account.id, count: 1});
	});

	// Guards against requests that wait for their deadline although nobody decides on their account.
	it('should refuse a call within a second while no instance decides, long before its deadline', async () => {
		const silent = Array.from({length: 100}, (_, index) => `10.1.0.${index}`);
		const {clock, task} = createTask(later, silent, false);
		task.applyConfiguration(configurationOf([account]));
		let outcome: unknown;
		const admitted = (async () => {
			outcome = await task.admit(callOf(account, clock.monotonicMs() + 8000));
		})();
		for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 10) {
			clock.advance(10);
			mock.timers.tick(10);
		}

		await admitted;
		assert.deepEqual(outcome, {type: 'refused', outcome: {type: 'not-run', reason: 'account-use-unknown', retryAfterMs: 20}});
	});

	for (const [title, outcome, isSent, isReturned] of [
		['whose key was taken away before it was sent', {type: 'unauthenticated', reason: 'key-removed'}, false, true],
		['whose caller left before it was sent', {type: 'abandoned'}, false, true],
		['whose time was over before it was sent', {type: 'timed-out'}, false, true],
		['that an upstream refused', {type: 'not-run', reason: 'refused-by-upstreams', retryAfterMs: 1}, true, true],
		['whose caller left after it was sent', {type: 'abandoned'}, true, false],
		['that may have run', {type: 'unknown', reason: 'broken'}, true, false],
	] as ReadonlyArray<readonly [string, Outcome, boolean, boolean]>) {
		it(`should ${isReturned ? 'return' : 'keep'} the token of a call ${title}`, () => {
			const {clock, sent, task} = createTask(later);
			task.applyConfiguration(configurationOf([account]));
			void task.admit(callOf(account, clock.monotonicMs() + 1000));
			const [ask] = sent as Array<Extract<LimitMessage, {type: 'limit-ask'}>>;
			task.receive({
				type: 'limit-answer', sequence: ask!.sequence, answer: {
					granted: 1, tokenInMs: 0, retryAfterMs: 0, isCertain: true,
				},
			}, owner);
			task.complete({type: 'granted', account: account.id, atMs: clock.monotonicMs()}, outcome, isSent);
			assert.equal(sent.some(({type}) => type === 'limit-return'), isReturned);
		});
	}

	it('should keep the number of labels bounded however often the accounts change', async () => {
		const {clock, metrics, task} = createTask(later);
		for (let version = 0; version < 50; version++) {
			const changed = {...account, id: `shop-${version}` as ClientAccountId};
			task.applyConfiguration(configurationOf([changed]));
			const admittance = task.admit(callOf(changed, clock.monotonicMs()));
			mock.timers.tick(0);
			await admittance;
		}

		const {values} = await metrics.accountRequests.get();
		assert.ok(values.length <= 21, `${values.length} series`);
	});
});
