import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {AnswerMemory} from '@cairnbank/core/connections';
import {ConnectionPool, type OpeningReason} from './connection-pool.js';
import type {UpstreamConnection} from './upstream-connection.js';

const idleMs = 4000;
const maximumTurns = 100_000;

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let turn = 0; turn < maximumTurns && !condition(); turn++) {
		await nextTurn();
	}

	assert.ok(condition());
}

describe('ConnectionPool', () => {
	let server: Server;
	let pool: ConnectionPool;
	let nowMs = 0;
	let losses: number;
	const reasons: OpeningReason[] = [];

	beforeEach(async () => {
		server = createServer((_request, response) => {
			response.setHeader('Keep-Alive', 'timeout=5').end('answer');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		reasons.length = 0;
		nowMs = 0;
		losses = 0;
		pool = new ConnectionPool({
			host: '127.0.0.1',
			port: (server.address() as AddressInfo).port,
			requestIdHeader: 'x-request-id',
			connectTimeoutMs: 1000,
			answerMemory: new AnswerMemory(),
			onOutgrown: () => undefined,
			now: () => nowMs,
			onOpened(reason) {
				reasons.push(reason);
			},
			onAnswered: () => undefined,
			onNotConnected: () => undefined,
			onLost() {
				losses += 1;
			},
		});
	});

	afterEach(() => {
		pool.close();
		server.closeAllConnections();
		server.close();
	});

	const exchange = async (connection: UpstreamConnection) => {
		const result = await connection.exchange({
			method: 'GET', target: '/', headers: ['Host', 'upstream'], body: undefined, requestId: undefined, timeoutMs: 1000,
		});
		assert.ok(result.isOk());
	};

	it('should use an idle connection again', async () => {
		const connection = pool.take();
		assert.equal(pool.state, 'occupied');
		await exchange(connection);
		pool.release(connection);
		assert.equal(pool.state, 'idle');
		assert.equal(pool.take(), connection);
		assert.deepEqual(reasons, ['first']);
		connection.close();
	});

	it('should open another one while all are in use', async () => {
		const connections = [pool.take(), pool.take()];
		assert.deepEqual(reasons, ['first', 'occupied']);
		await Promise.all(connections.map(async connection => exchange(connection)));
		for (const connection of connections) {
			connection.close();
		}
	});

	it('should open another one if the idle one has expired', async () => {
		const connection = pool.take();
		await exchange(connection);
		pool.release(connection);
		nowMs = idleMs;
		assert.equal(pool.state, 'none');
		pool.take().close();
		assert.deepEqual(reasons, ['first', 'expired']);
	});

	it('should say that none was left once expired ones are closed, and that a check asks for a new one', async () => {
		const connection = pool.take();
		await exchange(connection);
		pool.release(connection);
		nowMs = idleMs;
		pool.sweep();
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		pool.take().close();
		pool.open().close();
		assert.deepEqual(reasons, ['first', 'closed', 'check']);
	});

	describe('watching an upstream', () => {
		it('should open a connection if none is open, and use it for the next request', async () => {
			pool.ensureOpen();
			pool.ensureOpen();
			assert.deepEqual(reasons, ['watch']);
			await waitUntil(() => pool.state === 'idle');
			await exchange(pool.take());
			assert.deepEqual(reasons, ['watch']);
		});

		it('should not count a connection that is closed because its request was cancelled', async () => {
			const connection = pool.take();
			connection.cancel();
			pool.release(connection);
			pool.ensureOpen();
			assert.deepEqual(reasons, ['first', 'watch']);
		});

		it('should report that the upstream has ended while no request was running', async () => {
			const accepted = once(server, 'connection');
			pool.ensureOpen();
			const [socket] = await accepted as [Socket];
			await waitUntil(() => pool.state === 'idle');
			socket.destroy();
			await waitUntil(() => losses === 1);
		});
	});
});
