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

describe('at most once across instances', () => {
	let deployment: Deployment;
	let first: DaemonProcess;
	let second: DaemonProcess;

	before(async () => {
		deployment = await Deployment.start({
			services: [{id: 'ledger', upstreams: 2, upstream: {serviceMs: 1}}], daemons: 2, settings: {atMostOnce: {claimWaitMs}},
		});
		await deployment.publishInventory();
		[first, second] = deployment.daemons as [DaemonProcess, DaemonProcess];
		await knowEachOther(first, second);
	});
	afterEach(async () => deployment.log.setFaults({down: 'no', delayMs: 0, loseAcknowledgements: 0}));
	after(async () => deployment.stop());

	/** Forwards work once gossip has told each of the other. */
	async function knowEachOther(one: DaemonProcess, other: DaemonProcess): Promise<void> {
		for (const [owner, passer] of [[one, other], [other, one]] as const) {
			await waitFor(`${passer.id} reaches ${owner.id}`, async () => {
				const told = await post(passer, {[headerNames.ticket]: await takeTicket(owner)});
				return told.type === 'answered';
			});
		}
	}

	/** A read that was slow in the test before may still be under way. */
	async function claimsWork(daemon: DaemonProcess): Promise<void> {
		await waitFor(`${daemon.id} proves claims`, async () => {
			const told = await post(daemon, keyed(0));
			return told.type === 'answered';
		});
	}

	async function takeTicket(daemon: DaemonProcess): Promise<string> {
		const {body} = await request(`http://${daemon.callersAddress}${ticketPath}`, {method: 'POST'});
		return issuedTicketSchema.parse(await body.json()).ticket;
	}

	async function post(daemon: DaemonProcess, headers: Record<string, string>, requestId: string = randomUUID()): Promise<CallResponse> {
		return deployment.caller.call({
			instance: daemon.callersAddress, path: '/ledger/deposits', method: 'POST', body: '{"amount":5}', requestId, headers,
		});
	}

	function keyed(previousAttempts?: number, key: string = uuidv7()): Record<string, string> {
		const headers: Record<string, string> = {[headerNames.idempotencyKey]: key};
		return previousAttempts === undefined ? headers : {...headers, [headerNames.previousAttempts]: String(previousAttempts)};
	}

	function runsOf(requestId: string): number {
		return deployment.countRuns().get(requestId) ?? 0;
	}

	function assertSameAnswer(tellings: readonly CallResponse[]): void {
		const answers = tellings.map(told => [told.type, told.type === 'answered' && told.body]);
		assert.equal(answers[0]![0], 'answered');
		assert.deepEqual(new Set(answers.map(answer => JSON.stringify(answer))).size, 1);
		assert.equal(runsOf(tellings[0]!.requestId), 1);
	}

	it('should run a ticket once and tell its answer to sends at other instances, joined or later', async () => {
		const headers = {[headerNames.ticket]: await takeTicket(first), [serviceMsHeader]: '60'};
		const requestId = randomUUID();
		const joined = await Promise.all([first, second, second, first].map(async daemon => post(daemon, headers, requestId)));
		assertSameAnswer([...joined, await post(second, headers, requestId)]);
	});

	it('should run a ticket that came with an address answer', async () => {
		const {body} = await request(`http://${first.callersAddress}/.well-known/cairnbank/addresses?ticket=true`);
		const {ticket} = addressAnswerSchema.parse(await body.json());
		assertSameAnswer([await post(second, {[headerNames.ticket]: ticket!})]);
	});

	it('should run a key once and tell its answer to sends at both instances', async () => {
		const headers = {...keyed(), [serviceMsHeader]: '60'};
		const requestId = randomUUID();
		const joined = await Promise.all([first, second, first, second].map(async daemon => post(daemon, headers, requestId)));
		assertSameAnswer([...joined, await post(second, headers, requestId), await post(first, headers, requestId)]);
	});

	it('should find a claim whose acknowledgement was lost', async () => {
		await claimsWork(first);
		await deployment.log.setFaults({loseAcknowledgements: 1});
		assertSameAnswer([await post(first, keyed())]);
	});

	it('should go on with tickets while the log is down and say what it cannot prove of keys', async () => {
		await deployment.log.setFaults({down: 'refuse'});
		assertSameAnswer([await post(first, {[headerNames.ticket]: await takeTicket(first)})]);
		const [counted, uncounted] = [await post(first, keyed(0)), await post(first, keyed())];
		assert.deepEqual([counted.type, uncounted.type], ['not-run', 'unknown']);
		assert.deepEqual([counted, uncounted].map(({requestId}) => runsOf(requestId)), [0, 0]);
	});

	it('should never run a key whose claim took effect after its holder gave it up', async () => {
		await claimsWork(first);
		const {appends} = deployment.log;
		await deployment.log.setFaults({delayMs: claimWaitMs * 3});
		const headers = keyed(0);
		const told = await post(first, headers);
		assert.equal(told.type, 'not-run');
		await waitFor('the late claim', () => deployment.log.appends > appends);
		await deployment.log.setFaults({delayMs: 0});
		await waitFor('the second instance has read the late claim', async () => {
			const again = await post(second, {...headers, ...keyed(1, headers[headerNames.idempotencyKey])}, told.requestId);
			assert.notEqual(again.type, 'answered');
			return again.type === 'not-run';
		});
		assert.equal(runsOf(told.requestId), 0);
	});

	it('should say unknown while the owner is paused, and its answer once it woke', async () => {
		const headers = {[headerNames.ticket]: await takeTicket(first)};
		const told = await post(first, headers);
		first.pause();
		const paused = await post(second, {...headers, [headerNames.deadlineMs]: '200'}, told.requestId);
		assert.equal(paused.type, 'unknown');
		first.resume();
		await waitFor('the second instance knows that the first woke', async () => {
			const again = await post(second, headers, told.requestId);
			return again.type === 'answered';
		});
		assertSameAnswer([told, await post(second, headers, told.requestId)]);
	});

	it('should hand tickets and keys over at a planned stop, and say unknown once their holder was killed', async () => {
		await claimsWork(first);
		const [used, unused, key] = [{[headerNames.ticket]: await takeTicket(first)}, {[headerNames.ticket]: await takeTicket(first)}, keyed()];
		const tellings = [await post(first, used), await post(first, key)];
		assert.deepEqual(await first.stop(), {code: 0, signal: undefined});
		const handOver = first.lines.find(({event}) => event === 'handed tables over');
		assert.equal(handOver?.result, 'accepted');
		const [usedTold, keyTold] = tellings as [CallResponse, CallResponse];
		assertSameAnswer([usedTold, await post(second, used, usedTold.requestId)]);
		assertSameAnswer([keyTold, await post(second, key, keyTold.requestId)]);
		assertSameAnswer([await post(second, unused)]);
		const third = await deployment.startDaemon('entry-3', 'zone-a');
		await third.waitForConfiguration(1);
		await knowEachOther(second, third);
		await second.kill();
		for (const headers of [used, unused, key]) {
			const told = await post(third, headers, usedTold.requestId);
			assert.equal(told.type, 'unknown');
		}

		assert.equal(runsOf(usedTold.requestId), 1);
	});
});
