import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Deployment} from '../harness/index.js';

/** Time that the instance leaves in, long enough for requests to arrive and be answered within it. */
const leavingMs = 1500;
const serviceMs = '200';
const answerMs = 1000;
/** Shorter than the requests run. */
const disconnectMs = 100;
const maximumStopMs = 8000;

describe('requests sent ahead on a connection of an instance that leaves', () => {
	let deployment: Deployment;

	beforeEach(async () => {
		deployment = await Deployment.start({
			services: [{id: 'ledger', upstreams: 4}], daemons: 1, settings: {stopping: {spreadMs: leavingMs}},
		});
		await deployment.publishInventory();
	});

	afterEach(async () => {
		await deployment.stop();
	});

	/** Sends requests in one packet, and returns what comes back in this time, after which it disconnects. */
	async function sendAhead(heads: readonly string[], waitMs: number): Promise<string> {
		const socket = connect(Number(deployment.daemons[0]!.callersAddress.split(':')[1]), '127.0.0.1');
		let received = '';
		socket.on('data', data => {
			received += String(data);
		});
		socket.on('error', () => undefined);
		socket.write(heads.map(head => `${head}\r\nHost: a\r\nContent-Length: 0\r\n\r\n`).join(''));
		await delay(waitMs);
		socket.destroy();
		return received;
	}

	async function stopInTime(): Promise<void> {
		const stopped = deployment.daemons[0]!.stop();
		assert.ok(await Promise.race([stopped, delay(maximumStopMs, undefined, {ref: false})]), 'the instance has not stopped');
	}

	async function sendAheadWhileLeaving(heads: readonly string[]): Promise<string> {
		const stopped = stopInTime();
		await deployment.daemons[0]!.process.waitForLine('the instance leaves', ({event}) => event === 'leaving');
		const received = await sendAhead(heads, answerMs);
		await stopped;
		return received;
	}

	function payment(id: string): string {
		return `POST /ledger/x HTTP/1.1\r\nx-request-id: ${id}\r\nx-service-ms: ${serviceMs}`;
	}

	// Guards against a stop that waits for requests behind others whose caller has gone.
	it('should not keep the instance from stopping once their caller has gone', async () => {
		await sendAhead(['a', 'b', 'c'].map(id => payment(id)), disconnectMs);
		await stopInTime();
	});

	// Guards against a payment that runs although the answer before it ends its connection.
	it('should be answered if they run', async () => {
		const received = await sendAheadWhileLeaving(['a', 'b', 'c'].map(id => payment(id)));
		const runs = deployment.countRuns().size;
		assert.ok(runs > 0);
		assert.equal(received.split('HTTP/1.1 200').length - 1, runs);
	});

	it('should be answered if they run behind a request that is refused', async () => {
		const received = await sendAheadWhileLeaving(['GET /unknown HTTP/1.1', payment('a')]);
		assert.equal(received.split('HTTP/1.1 200').length - 1, deployment.countRuns().size);
	});
});
