import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import type {UpstreamId} from '@cairnbank/core';
import {AnswerMemory, maximumAnswerMemoryBytes} from '@cairnbank/core/connections';
import type {RelayPeer} from '@cairnbank/core/reachability';
import {createMetrics} from '../../metrics/metrics.js';
import type {AnswerReading} from '../../kernel/answer-reading.js';
import type {Context} from '../../kernel/context.js';
import {containFaults} from '../../kernel/unexpected-fault.js';
import {bodyOf} from '../upstreams/request-body-fixture.js';
import {maximumRelayBodyBytes, relayHeadHeader} from './relay-codec.js';
import {RelayedExchange} from './relayed-exchange.js';

/** Sends one request through an instance that handles it so, and returns the type of its failure. */
async function failureThrough(handler: RequestListener, body?: Uint8Array, answerMemory = new AnswerMemory<AnswerReading>()): Promise<string> {
	const server = createServer(handler);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const peer: Partial<RelayPeer> = {host: '127.0.0.1'};
	const exchange = new RelayedExchange({
		upstream: 'u1' as UpstreamId,
		peer: peer as RelayPeer,
		agent: new Agent(),
		port: (server.address() as AddressInfo).port,
		localAddress: '127.0.0.1',
		answerMemory,
		onOutgrown: () => undefined,
		onStart: () => undefined,
		onEnd: () => undefined,
	});
	const result = await exchange.exchange({
		method: 'POST', target: '/', headers: [], body: body === undefined ? undefined : bodyOf(body), requestId: 'a', timeoutMs: 1000,
	});
	server.close();
	return result._unsafeUnwrapErr().type;
}

describe('RelayedExchange', () => {
	it('should prove that nothing was sent if the other instance refuses to pass the request on', async () => {
		assert.equal(await failureThrough((_, response) => {
			response.writeHead(503).end('leaving');
		}), 'no-relay');
	});

	// Guards against a payment that was never sent but is reported as unknown, as the other instance closes the connection during its long body.
	it('should send nothing if the body is longer than other instances pass on', async () => {
		let requests = 0;
		assert.equal(await failureThrough(() => {
			requests += 1;
		}, new Uint8Array(maximumRelayBodyBytes + 1)), 'no-relay');
		assert.equal(requests, 0);
	});

	// Guards against answers that no bound counts, as another instance passes them on.
	it('should give up an answer that outgrows the memory of answers', async () => {
		const memory = new AnswerMemory<AnswerReading>();
		memory.hold(maximumAnswerMemoryBytes - 10);
		assert.equal(await failureThrough((_, response) => {
			response.write('longer than ten bytes');
		}, undefined, memory), 'answer-outgrown');
		assert.equal(memory.unfinishedBytes, 0);
	});

	// Guards against a status that no upstream has sent, as the other instance reads status lines less strictly.
	it('should reject an answer whose status does not exist', async () => {
		for (const status of [0, 99, 199, 600, 2000]) {
			assert.equal(await failureThrough((_, response) => {
				const head = Buffer.from(JSON.stringify({type: 'answered', status, headers: []})).toString('base64url');
				response.writeHead(200, {[relayHeadHeader]: head}).end();
			}), 'malformed', String(status));
		}
	});

	// Guards against a payment that runs twice, as the other instance failed after it had sent it.
	it('should report that the request may have run if the other instance fails under it', async () => {
		const context = {metrics: createMetrics(), logger: {error: () => undefined} as unknown as Context['logger']};
		assert.equal(await failureThrough(containFaults(context, 'peer', async () => {
			throw new Error('a fault of the program');
		})), 'broken');
	});
});
