import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {
	after, afterEach, before, describe, it,
} from 'node:test';
import {addressAnswerSchema} from '@cairnbank/core/membership';
import {headerNames} from '@cairnbank/protocol';
import {issuedTicketSchema, ticketPath} from '@cairnbank/protocol/at-most-once';
import {request} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {
	Deployment, waitFor, type CallResponse, type DaemonProcess,
} from '../harness/index.js';
import {serviceMsHeader} from '../stand-ins/upstream-headers.js';

const claimWaitMs = 300;

describe('at-most-once execution across instances', () => {
	let deployment: Deployment;
	let first: DaemonProcess;
	let second: DaemonProcess;

	before(async () => {
		deployment = await Deployment.start({
			services: [{id: 'ledger', upstreams: 2, upstream: {serviceMs: 1}}], daemons: 2, settings: {atMostOnce: {claimWaitMs}},
		});
		await deployment.publishInventory();
		[first, second] = deployment.daemons as [DaemonProcess, DaemonProcess];
		await waitForMutualForwarding(first, second);
	});
	afterEach(async () => deployment.log.setFaults({down: 'no', delayMs: 0, loseAcknowledgements: 0}));
	after(async () => deployment.stop());

	/** Waits until each daemon forwards to the other, which works only after gossip has made them known to each other. */
	async function waitForMutualForwarding(one: DaemonProcess, other: DaemonProcess): Promise<void> {
		for (const [owner, forwarder] of [[one, other], [other, one]] as const) {
			await waitFor(`${forwarder.id} reaches ${owner.id}`, async () => {
				const result = await post(forwarder, {[headerNames.ticket]: await requestTicket(owner)});
				return result.type === 'answered';
			});
		}
	}

	/** Waits until the daemon can record claims: a read that the previous test slowed down may still be in progress. */
	async function waitUntilClaimsSucceed(daemon: DaemonProcess): Promise<void> {
		await waitFor(`${daemon.id} records claims`, async () => {
			const result = await post(daemon, keyHeaders(0));
			return result.type === 'answered';
		});
	}

	async function requestTicket(daemon: DaemonProcess): Promise<string> {
		const {body} = await request(`http://${daemon.callersAddress}${ticketPath}`, {method: 'POST'});
		return issuedTicketSchema.parse(await body.json()).ticket;
	}

	async function post(daemon: DaemonProcess, headers: Record<string, string>, requestId: string = randomUUID()): Promise<CallResponse> {
		return deployment.caller.call({
			instance: daemon.callersAddress, path: '/ledger/deposits', method: 'POST', body: '{"amount":5}', requestId, headers,
		});
	}

	function keyHeaders(previousAttempts?: number, key: string = uuidv7()): Record<string, string> {
		const headers: Record<string, string> = {[headerNames.idempotencyKey]: key};
		return previousAttempts === undefined ? headers : {...headers, [headerNames.previousAttempts]: String(previousAttempts)};
	}

	function runsOf(requestId: string): number {
		return deployment.countRuns().get(requestId) ?? 0;
	}

	function assertSameAnswer(results: readonly CallResponse[]): void {
		const answers = results.map(result => [result.type, result.type === 'answered' && result.body]);
		assert.equal(answers[0]![0], 'answered');
		assert.deepEqual(new Set(answers.map(answer => JSON.stringify(answer))).size, 1);
		assert.equal(runsOf(results[0]!.requestId), 1);
	}

	it('should run a ticket once and return its answer to concurrent and later sends at other instances', async () => {
		const headers = {[headerNames.ticket]: await requestTicket(first), [serviceMsHeader]: '60'};
		const requestId = randomUUID();
		const concurrent = await Promise.all([first, second, second, first].map(async daemon => post(daemon, headers, requestId)));
		assertSameAnswer([...concurrent, await post(second, headers, requestId)]);
	});

	it('should run a ticket that was issued with an address answer', async () => {
		const {body} = await request(`http://${first.callersAddress}/.well-known/cairnbank/addresses?ticket=true`);
		const {ticket} = addressAnswerSchema.parse(await body.json());
		assertSameAnswer([await post(second, {[headerNames.ticket]: ticket!})]);
	});

	it('should run a key once and return its answer to sends at both instances', async () => {
		const headers = {...keyHeaders(), [serviceMsHeader]: '60'};
		const requestId = randomUUID();
		const concurrent = await Promise.all([first, second, first, second].map(async daemon => post(daemon, headers, requestId)));
		assertSameAnswer([...concurrent, await post(second, headers, requestId), await post(first, headers, requestId)]);
	});

	it('should find a claim whose acknowledgement was lost', async () => {
		await waitUntilClaimsSucceed(first);
		await deployment.log.setFaults({loseAcknowledgements: 1});
		assertSameAnswer([await post(first, keyHeaders())]);
	});

	it('should run tickets while the log is down, and refuse keys or report them as unknown', async () => {
		await deployment.log.setFaults({down: 'refuse'});
		assertSameAnswer([await post(first, {[headerNames.ticket]: await requestTicket(first)})]);
		const [counted, uncounted] = [await post(first, keyHeaders(0)), await post(first, keyHeaders())];
		assert.deepEqual([counted.type, uncounted.type], ['not-run', 'unknown']);
		assert.deepEqual([counted, uncounted].map(({requestId}) => runsOf(requestId)), [0, 0]);
	});

	it('should never run a key whose claim took effect after its owner abandoned it', async () => {
		await waitUntilClaimsSucceed(first);
		const {appends} = deployment.log;
		await deployment.log.setFaults({delayMs: claimWaitMs * 3});
		const headers = keyHeaders(0);
		const result = await post(first, headers);
		assert.equal(result.type, 'not-run');
		await waitFor('the late claim', () => deployment.log.appends > appends);
		await deployment.log.setFaults({delayMs: 0});
		await waitFor('the second instance has read the late claim', async () => {
			const again = await post(second, {...headers, ...keyHeaders(1, headers[headerNames.idempotencyKey])}, result.requestId);
			assert.notEqual(again.type, 'answered');
			return again.type === 'not-run';
		});
		assert.equal(runsOf(result.requestId), 0);
	});

	it('should answer unknown while the owner is paused, and with its answer once it has resumed', async () => {
		const headers = {[headerNames.ticket]: await requestTicket(first)};
		const result = await post(first, headers);
		first.pause();
		const paused = await post(second, {...headers, [headerNames.deadlineMs]: '200'}, result.requestId);
		assert.equal(paused.type, 'unknown');
		first.resume();
		await waitFor('the second instance knows that the first has resumed', async () => {
			const again = await post(second, headers, result.requestId);
			return again.type === 'answered';
		});
		assertSameAnswer([result, await post(second, headers, result.requestId)]);
	});

	it('should hand over tickets and keys at a planned stop, and answer unknown once their owner was killed', async () => {
		await waitUntilClaimsSucceed(first);
		const [used, unused, key] = [{[headerNames.ticket]: await requestTicket(first)}, {[headerNames.ticket]: await requestTicket(first)}, keyHeaders()];
		const results = [await post(first, used), await post(first, key)];
		assert.deepEqual(await first.stop(), {code: 0, signal: undefined});
		const handOver = first.lines.find(({event}) => event === 'handed tables over');
		assert.equal(handOver?.result, 'accepted');
		const [usedResult, keyResult] = results as [CallResponse, CallResponse];
		assertSameAnswer([usedResult, await post(second, used, usedResult.requestId)]);
		assertSameAnswer([keyResult, await post(second, key, keyResult.requestId)]);
		assertSameAnswer([await post(second, unused)]);
		const third = await deployment.startDaemon('entry-3', 'zone-a');
		await third.waitForConfiguration(1);
		await waitForMutualForwarding(second, third);
		await second.kill();
		for (const headers of [used, unused, key]) {
			const result = await post(third, headers, usedResult.requestId);
			assert.equal(result.type, 'unknown');
		}

		assert.equal(runsOf(usedResult.requestId), 1);
	});
});
