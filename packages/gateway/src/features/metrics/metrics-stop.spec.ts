import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, get, type IncomingMessage} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {limitsOf} from '@cairnbank/core/connections';
import type {Context} from '../../kernel/context.js';
import {createMetrics} from '../../metrics/metrics.js';
import {MetricsTask} from './metrics-task.js';

const host = '127.0.0.1';

async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

describe('a request for metrics as its instance stops', () => {
	let task: MetricsTask;
	let agent: Agent;
	let port: number;

	beforeEach(async () => {
		port = await findFreePort();
		agent = new Agent({keepAlive: true});
		const context = {
			settings: {host, peers: {metricsPort: port}}, machineLimits: limitsOf({memoryBytes: 350_000_000, descriptors: 4100}), metrics: createMetrics(), logger: {error: () => undefined},
		};
		task = new MetricsTask(context as unknown as Context, {
			droppedLogLines: () => 0, countOpenRequests: () => new Map(), unfinishedAnswerBytes: () => 0, heldHeadBytes: () => 0,
		});
		const started = await task.start();
		assert.ok(started.isOk());
	});

	afterEach(() => {
		agent.destroy();
		task.stop();
	});

	/** Returns the value of the `Connection` header of the answer, or the code of the error. */
	async function readMetrics(): Promise<string> {
		try {
			const [response] = await once(get({
				host, port, path: '/metrics', agent,
			}), 'response') as [IncomingMessage];
			response.resume();
			await once(response, 'end');
			await nextTurn();
			return response.headers.connection!;
		} catch (error) {
			return (error as NodeJS.ErrnoException).code!;
		}
	}

	it('should be the last on its connection once the instance leaves', async () => {
		assert.equal(await readMetrics(), 'keep-alive');
		task.leave();
		assert.equal(await readMetrics(), 'close');
	});

	it('should be refused by a closed port instead of reset once the instance has stopped', async () => {
		assert.equal(await readMetrics(), 'keep-alive');
		task.leave();
		await task.drain();
		await nextTurn();
		task.stop();
		assert.equal(await readMetrics(), 'ECONNREFUSED');
	});
});
