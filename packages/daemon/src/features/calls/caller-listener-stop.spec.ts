import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {inventorySchema} from '@cairnbank/core';
import {initialConfiguration} from '@cairnbank/core/configuration';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {CallerListenerTask} from './caller-listener-task.js';
import {HeldAnswers} from './held-answers.js';

const heldBytes = 1_000_000;
/** Fits into the buffers between a server and its caller. */
const answerBytes = 200_000;
const maximumWaitMs = 5000;
const arrivalTurns = 10;
const request = 'GET /ledger/long HTTP/1.1\r\nHost: h\r\n\r\n';

async function waitUntil(condition: () => boolean): Promise<void> {
	for (const startMs = performance.now(); !condition() && performance.now() - startMs < maximumWaitMs;) {
		await delay(5);
	}
}

describe('CallerListenerTask of a daemon that leaves', () => {
	let task: CallerListenerTask;
	let socket: Socket;

	beforeEach(async () => {
		const context = createContextFixture();
		task = new CallerListenerTask(context, {
			handler: async () => ({type: 'answered', answer: {statusCode: 200, headers: [], body: Buffer.alloc(answerBytes)}}),
			heldAnswers: new HeldAnswers(heldBytes),
			routes: [],
		});
		const inventory = inventorySchema.parse({kind: 'inventory', services: [{id: 'ledger', upstreams: []}]});
		context.bus.send({type: 'configuration-in-force', configuration: {...initialConfiguration, inventory}});
		const started = await task.start();
		assert.ok(started.isOk());
		const [host, port] = task.address!.split(':');
		socket = connect({host, port: Number(port)});
		await once(socket, 'connect');
	});

	afterEach(async () => {
		socket.destroy();
		await task.stop();
	});

	// Guards against a last answer that is reset under its caller because the caller sends one more request.
	it('should deliver the last answer whole though one more request arrives behind it', async () => {
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		socket.pause();
		await task.leave();
		socket.write(request);
		await waitUntil(() => task.inFlight === 1);
		await waitUntil(() => task.inFlight === 0);
		socket.write(request);
		for (let turn = 0; turn < arrivalTurns; turn++) {
			await nextTurn();
		}

		const closed = once(socket, 'close');
		socket.resume();
		await closed;
		assert.equal(received.split('\r\n\r\n')[1]?.length, answerBytes);
	});
});
