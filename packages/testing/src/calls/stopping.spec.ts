import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {headerNames} from '@cairnbank/protocol';
import {ticketPath, type IssuedTicketMessage} from '@cairnbank/protocol/at-most-once';
import {v7 as uuid} from 'uuid';
import {Deployment, waitFor, type DaemonProcess} from '../harness/index.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

const slots = 10;
const connections = 2;
const waitingCalls = 6;
/** Longer than an instance waits for a claim. */
const logDelayMs = 10_000;
/** Longer than a call takes to be read and to ask for its claim. */
const admissionMs = 100;

describe('calls at an instance whose time to drain is over', () => {
	const silent = new RawUpstream([{text: '', end: 'keep'}]);
	let deployment: Deployment;
	let daemon: DaemonProcess;

	beforeEach(async () => {
		await silent.start();
		deployment = await Deployment.start({
			services: [],
			daemons: 1,
			settings: {stopping: {spreadMs: 0, maximumDrainMs: 300}, addresses: {ttlMs: 100}, calls: {readTimeoutMs: 1000}},
		});
		await deployment.publish({
			kind: 'inventory',
			services: [{
				id: 'ledger', upstreams: [{
					id: 'silent', address: silent.address, availabilityZone: 'zone-a', slots, connections,
				}],
			}],
		});
		daemon = deployment.daemons[0]!;
		silent.requests = 0;
	});

	afterEach(async () => {
		await deployment.stop();
		await silent.stop();
	});

	async function call(method: 'GET' | 'POST', headers: Record<string, string> = {}): Promise<string> {
		const {type} = await deployment.caller.call({
			instance: daemon.callersAddress, path: '/ledger/x', method, headers,
		});
		return type;
	}

	async function takeTicket(): Promise<string> {
		const result = await deployment.caller.call({instance: daemon.callersAddress, path: ticketPath, method: 'POST'});
		assert.ok('body' in result);
		return (JSON.parse(result.body) as IssuedTicketMessage).ticket;
	}

	// Guards against requests that get no answer, as the end of the time to drain only closes their connections.
	it('should end as unknown if their upstream has them', async () => {
		const result = call('GET');
		await waitFor('the request', () => silent.requests === 1);
		await daemon.stop();
		assert.equal(await result, 'unknown');
	});

	it('should end as unknown if they run under a ticket', async () => {
		const result = call('POST', {[headerNames.ticket]: await takeTicket()});
		await waitFor('the request', () => silent.requests === 1);
		await daemon.stop();
		assert.equal(await result, 'unknown');
	});

	it('should end as unknown, and not run, if they wait for the claim of a key', async () => {
		await deployment.log.setFaults({delayMs: logDelayMs});
		const result = call('POST', {[headerNames.idempotencyKey]: uuid()});
		await delay(admissionMs);
		await daemon.stop();
		assert.equal(await result, 'unknown');
		assert.equal(silent.requests, 0);
	});

	it('should end as not run if they wait for the upstream', async () => {
		const running = call('POST');
		await waitFor('the request', () => silent.requests === 1);
		const waiting = Array.from({length: waitingCalls}, async () => call('POST'));
		await daemon.stop();
		assert.equal(await running, 'unknown');
		assert.deepEqual(await Promise.all(waiting), waiting.map(() => 'not-run'));
		assert.equal(silent.requests, 1);
	});

	it('should end as not run if their bodies are being read', async () => {
		const socket = connect(Number(daemon.callersAddress.split(':')[1]), '127.0.0.1');
		let received = '';
		socket.on('data', data => {
			received += String(data);
		});
		socket.on('error', () => undefined);
		socket.write('POST /ledger/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na');
		await once(socket, 'connect');
		await daemon.stop();
		assert.match(received, /^http\/1\.1 503 .*cairnbank-outcome: not-run/is);
		socket.destroy();
	});
});
