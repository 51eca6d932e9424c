import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {createMetrics} from '../metrics/metrics.js';
import type {LogFields} from '../logging/create-logger.js';
import type {Context} from './context.js';
import {containFaults} from './unexpected-fault.js';

const servers: Server[] = [];

describe('containFaults', () => {
	afterEach(() => {
		for (const server of servers.splice(0)) {
			server.closeAllConnections();
			server.close();
		}
	});

	// Guards against a request whose handler throws and ends the process.
	it('should answer 500, count the fault, and log its place and stack', async () => {
		const lines: LogFields[] = [];
		const metrics = createMetrics();
		const logger = {
			error(_: string, fields: LogFields) {
				lines.push(fields);
			},
		} as unknown as Context['logger'];
		const server = createServer(containFaults({logger, metrics}, 'peer', async () => {
			throw new Error('a fault of the program');
		}));
		servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {status} = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/state`);
		assert.equal(status, 500);
		assert.equal(lines[0]?.target, '/state');
		assert.match(String(lines[0]?.stack), /unexpected-fault\.spec/);
		const {values} = await metrics.unexpectedFaults.get();
		assert.deepEqual(values.map(({labels, value}) => [labels.place, value]), [['peer', 1]]);
	});
});
