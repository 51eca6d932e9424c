import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, get, type IncomingMessage} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Addressable} from '@cairnbank/core/fleet';
import {limitsOf} from '@cairnbank/core/connections';
import type {Context} from '../../kernel/context.js';
import {createMetrics} from '../../metrics/metrics.js';
import type {DirectoryDialect} from '../../ports/index.js';
import {DirectoryTask} from './directory-task.js';

const host = '127.0.0.1';
const callers = 20;
const dialect: DirectoryDialect = {
	readinessPath: '/ready',
	maximumAddresses: 4,
	readQuery: () => ({name: 'callers', availabilityZone: 'a'}),
	writeAnswer: addresses => JSON.stringify(addresses),
};

async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

describe('a lookup as its instance stops', () => {
	let task: DirectoryTask;
	let agent: Agent;
	let port: number;

	beforeEach(async () => {
		port = await findFreePort();
		agent = new Agent({keepAlive: true, maxSockets: callers});
		const address = `${host}:${port}`;
		const settings = {listen: {callers: address, directory: address, readiness: address}, bounds: {maximumAddressTtlSeconds: 5}};
		const offered: Array<Partial<Addressable>> = [{host, availabilityZone: 'a' as Addressable['availabilityZone']}];
		task = new DirectoryTask({
			context: {
				settings, machineLimits: limitsOf({memoryBytes: 350_000_000, descriptors: 4100}), metrics: createMetrics(), logger: {error: () => undefined},
			} as unknown as Context,
			dialect,
			isReady: () => true,
			offered: () => offered as Addressable[],
		});
		const started = await task.start();
		assert.ok(started.isOk());
	});

	afterEach(() => {
		agent.destroy();
		task.stop();
	});

	/** Returns the value of the `Connection` header of the answer, or the code of the error. */
	async function lookUp(): Promise<string> {
		try {
			const [response] = await once(get({
				host, port, path: '/', agent,
			}), 'response') as [IncomingMessage];
			response.resume();
			await once(response, 'end');
			await nextTurn();
			return response.headers.connection!;
		} catch (error) {
			return (error as NodeJS.ErrnoException).code!;
		}
	}

	async function lookUpAtOnce(): Promise<string[]> {
		return Promise.all(Array.from({length: callers}, async () => lookUp()));
	}

	it('should be the last on its connection once the instance leaves', async () => {
		assert.equal(await lookUp(), 'keep-alive');
		task.leave();
		assert.equal(await lookUp(), 'close');
	});

	it('should be answered if it is sent on a kept connection as the instance drains', async () => {
		await lookUpAtOnce();
		task.leave();
		const answers = lookUpAtOnce();
		await nextTurn();
		await task.drain();
		assert.deepEqual(await answers, Array.from({length: callers}, () => 'close'));
	});

	// Guards against lookups that are reset on kept connections by the end of an instance.
	it('should be refused by a closed port instead of reset once the instance has stopped', async () => {
		await lookUpAtOnce();
		task.leave();
		await task.drain();
		await nextTurn();
		task.stop();
		const answers = await lookUpAtOnce();
		assert.deepEqual(answers, answers.map(() => 'ECONNREFUSED'));
	});
});
