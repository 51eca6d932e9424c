import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {describe, it} from 'node:test';
import {Listener} from './listener.js';

describe('Listener', () => {
	// Guards against stand-ins whose port another program has taken when they listen again.
	it('should refuse connections while it is closed, and keep its port from other programs', async () => {
		const listener = new Listener((_request, response) => {
			response.end();
		}, {keepsPort: true});
		await listener.open();
		const {address} = listener;
		await listener.close();
		const [host, portText] = address.split(':');
		const port = Number(portText);
		const another = createServer().listen(port, '127.0.0.1');
		await assert.rejects(once(another, 'listening'), {code: 'EADDRINUSE'});
		await assert.rejects(once(connect(port, host), 'connect'), {code: 'ECONNREFUSED'});
		await listener.open();
		assert.equal(listener.address, address);
		const socket = connect(port, host);
		await once(socket, 'connect');
		socket.destroy();
		await listener.close();
	});
});
