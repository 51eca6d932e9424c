import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {upstreamSchema} from '@cairnbank/core';
import {UpstreamPools} from './upstream-pools.js';

const answerAfterMs = 10;
const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';

/** Answers each request after a delay and counts how often one arrived before the previous one was answered. */
class DelayedServer {
	received = 0;
	pipelined = 0;
	#unanswered = 0;
	readonly #server = createServer(socket => {
		socket.on('data', chunk => {
			this.#receive(socket, chunk.toString('latin1').split('\r\n\r\n').length - 1);
		});
	});

	async start(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.#server.close();
	}

	#receive(socket: Socket, requests: number): void {
		this.received += requests;
		this.#unanswered += requests;
		this.pipelined += this.#unanswered > 1 ? 1 : 0;
		setTimeout(() => {
			this.#unanswered -= requests;
			socket.write(answer.repeat(requests));
		}, answerAfterMs);
	}
}

describe('upstream pools', () => {
	it('should send a request on a connection only after the previous one is answered', async () => {
		const server = new DelayedServer();
		const upstream = upstreamSchema.parse({
			id: 'ledger-1', address: await server.start(), availabilityZone: 'zone-a', slots: 4, connections: 1,
		});
		const pools = new UpstreamPools({connectTimeoutMs: 1000, keepAliveTimeoutMs: 1000});
		pools.update([{upstream, connections: 1}]);
		const pool = pools.get(upstream.id)!;
		// Undici only pipelines requests that are idempotent and marked as non-blocking.
		await Promise.all(Array.from({length: 6}, async () => {
			const {body} = await pool.request({path: '/', method: 'GET', blocking: false});
			await body.dump();
		}));
		await pools.close();
		server.stop();
		assert.deepEqual([server.received, server.pipelined], [6, 0]);
	});
});
