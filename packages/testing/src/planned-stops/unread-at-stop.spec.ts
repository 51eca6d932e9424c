import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Deployment, waitFor} from '../harness/index.js';

const callerCount = 20;
/** Longer than the time for which a leaving daemon of the harness still takes connections. */
const stalledMs = 1200;
const request = 'GET /ledger/balance HTTP/1.1\r\nHost: h\r\n\r\n';

class WaitingCaller {
	isConnected = false;
	isClosed = false;
	received = '';
	readonly socket: Socket;

	constructor(address: string) {
		const [host, port] = address.split(':');
		this.socket = connect({host, port: Number(port)});
		this.socket.on('connect', () => {
			this.isConnected = true;
		});
		this.socket.on('data', chunk => {
			this.received += chunk.toString('latin1');
		});
		this.socket.on('error', () => undefined);
		this.socket.on('close', () => {
			this.isClosed = true;
		});
		this.socket.write(request);
	}
}

describe('a daemon that does not run for a moment until it stops', () => {
	let deployment: Deployment | undefined;

	afterEach(async () => {
		await deployment?.stop();
	});

	// Guards against connections with whole requests that wait to be accepted and are reset as the listener closes.
	it('should answer the whole requests of connections that arrived meanwhile', async () => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 2}], daemons: 1});
		await deployment.publishInventory();
		const [daemon] = deployment.daemons;
		daemon!.process.kill('SIGTERM');
		await daemon!.process.waitForLine('the daemon leaves', ({event}) => event === 'leaving');
		daemon!.pause();
		const callers = Array.from({length: callerCount}, () => new WaitingCaller(daemon!.callersAddress));
		await waitFor('all connections', () => callers.every(({isConnected}) => isConnected));
		await delay(stalledMs);
		daemon!.resume();
		await waitFor('the end of all connections', () => callers.every(({isClosed}) => isClosed));
		assert.equal(callers.filter(({received}) => !/^HTTP\/1\.1 (?:200|503)/.test(received)).length, 0);
		const {code} = await daemon!.process.exited;
		assert.equal(code, 0);
	});
});
