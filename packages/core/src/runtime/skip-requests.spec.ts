import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {skipRequestsIf} from './skip-requests.js';

describe('skipRequestsIf', () => {
	// Guards against a runtime whose parser has lost the hook.
	it('should drop the requests behind one in the same part, and read those that come later if the condition no longer holds', async () => {
		const received: string[] = [];
		let skips = false;
		const server = createServer((request, response) => {
			received.push(request.url ?? '');
			skips = true;
			response.end();
		});
		server.on('connection', (socket: Socket) => {
			skipRequestsIf(socket, () => skips);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
		socket.write(['/a', '/b', '/c'].map(path => request(path)).join(''));
		await once(socket, 'data');
		skips = false;
		socket.write(request('/d'));
		await once(server, 'request') as [IncomingMessage];
		assert.deepEqual(received, ['/a', '/d']);
		socket.destroy();
		server.close();
	});
});
