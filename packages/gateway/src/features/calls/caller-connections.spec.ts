import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {ManualClock} from '@cairnbank/core';
import {
	AnswerMemory, CallerMemory, maximumHeldBytes, stallMs,
} from '@cairnbank/core/connections';
import {createMetrics} from '../../metrics/metrics.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import {CallerConnections} from './caller-connections.js';
import type {OpenRequest} from './open-request.js';

const answer = {type: 'answered', answer: answerOf(200, [], new Uint8Array(2))} as const;
const headerTimeoutMs = 100;
const keepAliveMs = 50;
/** Fits into the buffers between a server and its caller. */
const longAnswerBytes = 200_000;
const servers: Server[] = [];

/** Starts a server that leaves its requests to the spec, and sends it bytes. */
async function send(bytes: string, {isLeaving = false, keepAliveMs: keepAliveTimeout = 5000} = {}): Promise<{
	clock: ManualClock; connections: CallerConnections; started: OpenRequest[]; received: () => string; socket: Socket; writeFaults: unknown[];
}> {
	const server = createServer({
		requireHostHeader: false, headersTimeout: headerTimeoutMs, connectionsCheckingInterval: headerTimeoutMs / 2, keepAliveTimeout,
	});
	servers.push(server);
	const started: OpenRequest[] = [];
	const writeFaults: unknown[] = [];
	const clock = new ManualClock();
	const connections = new CallerConnections({
		server,
		clock,
		metrics: createMetrics(),
		answerMemory: new AnswerMemory(),
		callerMemory: new CallerMemory({
			clock, maximumBytes: 100_000_000, maximumBodyBytes: 50_000_000, answerBytes: () => 0,
		}),
		maximumConnections: 100,
		onTooMany: () => undefined,
		isLeaving: () => isLeaving,
		onWriteFault(error) {
			writeFaults.push(error);
		},
		onArrived: () => undefined,
		onStart(request) {
			started.push(request);
		},
		onIgnored: () => undefined,
		identify: () => ({}),
		onUndelivered: () => undefined,
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.write(bytes);
	await once(server, 'request');
	return {
		clock, connections, started, received: () => text, socket, writeFaults,
	};
}

describe('CallerConnections', () => {
	afterEach(() => {
		for (const server of servers.splice(0)) {
			server.closeAllConnections();
			server.close();
		}
	});

	it('should answer a request before it closes for a header that is not completed in time', async () => {
		const {connections, started, received, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n');
		setTimeout(() => {
			connections.respond(started[0]!, answer);
		}, 4 * headerTimeoutMs);
		await once(socket, 'close');
		assert.match(received(), /^HTTP\/1\.1 200 OK[^]*Connection: close/);
	});

	it('should answer 408 to a header that is not completed in time', async () => {
		const {connections, started, received, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n');
		connections.respond(started[0]!, answer);
		await once(socket, 'close');
		assert.match(received(), /^HTTP\/1\.1 200 OK[^]*HTTP\/1\.1 408 /);
	});

	it('should answer 400 to a request without a host', async () => {
		const {started, received, socket} = await send('GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n');
		await once(socket, 'close');
		assert.match(received(), /^HTTP\/1\.1 400 /);
		assert.equal(started.length, 0);
	});

	// Guards against an exception in the writer that ends the process.
	it('should answer 502 if an answer cannot be written, and go on with the connection', async () => {
		const {connections, started, received, socket, writeFaults} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
		const unwritable = {status: 200, headers: ['X-A', 'a\0b'], body: new Uint8Array(0)} as unknown as UpstreamAnswer;
		connections.respond(started[0]!, {type: 'answered', answer: unwritable});
		connections.respond(started[1]!, answer);
		await once(socket, 'close');
		assert.match(received(), /^HTTP\/1\.1 502 [^]*HTTP\/1\.1 200 OK/);
		assert.equal(writeFaults.length, 1);
	});

	it('should disconnect a caller that takes nothing of an answer behind another while memory is short', async () => {
		const {clock, connections, started, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n');
		const [first, second] = started as [OpenRequest, OpenRequest];
		second.response.write = () => false;
		connections.respond(second, {...answer, answer: {...answer.answer, body: new Uint8Array(maximumHeldBytes)}});
		connections.respond(first, answer);
		await once(first.response, 'close');
		await new Promise(setImmediate);
		assert.equal(connections.refusal()?.type, 'not-run');
		assert.equal(socket.destroyed, false);
		clock.advance(stallMs);
		connections.refusal();
		await Promise.race([once(socket, 'close'), delay(1000)]);
		assert.equal(socket.destroyed, true);
	});

	// Guards against a connection that is reset under its last answer because the caller sends on.
	it('should deliver the last answer whole to a caller that reads slowly and sends on as the connection closes', async () => {
		const body = new Uint8Array(longAnswerBytes);
		const {connections, started, received, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n', {isLeaving: true});
		socket.pause();
		connections.respond(started[0]!, {type: 'answered', answer: answerOf(200, [], body)});
		await once(started[0]!.response, 'close');
		socket.write('GET /2 HTTP/1.1\r\nHost: h\r\n\r\n');
		await delay(20);
		socket.on('error', () => undefined);
		socket.resume();
		await once(socket, 'close');
		assert.match(received(), /^HTTP\/1\.1 200 [^]*Connection: close/);
		assert.equal(received().split('\r\n\r\n')[1]?.length, longAnswerBytes);
	});

	// Guards against answers that are lost because their callers take longer to read them than a fixed time to linger.
	it('should leave a connection open until its caller closes it or the stop ends, and report it closed then', async () => {
		const {connections, started, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n', {isLeaving: true, keepAliveMs});
		socket.allowHalfOpen = true;
		let isClosed = false;
		const closed = (async () => {
			await once(started[0]!.response, 'close');
			await connections.untilClosed();
			isClosed = true;
		})();
		connections.respond(started[0]!, answer);
		await once(socket, 'end');
		await delay(3 * keepAliveMs);
		assert.deepEqual([isClosed, started[0]!.request.socket.destroyed], [false, false]);
		connections.stop();
		await closed;
		assert.equal(started[0]!.request.socket.destroyed, true);
		socket.destroy();
	});

	it('should close a connection whose caller does not close it while the instance does not stop', async () => {
		const {connections, started, socket} = await send('GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n', {keepAliveMs});
		socket.allowHalfOpen = true;
		connections.respond(started[0]!, answer);
		await once(socket, 'end');
		await connections.untilClosed();
		assert.equal(started[0]!.request.socket.destroyed, true);
		socket.destroy();
	});
});
