import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {ManualClock} from '@cairnbank/core';
import type {Context} from '../../kernel/context.js';
import type {FleetMessage} from './datagrams.js';
import {FleetSocket} from './fleet-socket.js';

const message: FleetMessage = {type: 'suspects', records: []};

async function freePort(): Promise<number> {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const {port} = socket.address();
	socket.close();
	await once(socket, 'close');
	return port;
}

describe('FleetSocket', () => {
	// A read of the store may be answered while the instance stops; the changes that it brings are then announced.
	it('should not throw when something is sent after stop', async () => {
		const logger = {debug: () => undefined, warn: () => undefined};
		const settings = {host: '127.0.0.1', peers: {datagramPort: await freePort()}};
		const socket = new FleetSocket({clock: new ManualClock(), logger, settings} as unknown as Context, () => undefined);
		const started = await socket.start();
		assert.ok(started.isOk());
		socket.stop();
		assert.doesNotThrow(() => {
			socket.send(message, ['127.0.0.1']);
		});
	});
});
