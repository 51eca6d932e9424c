import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {closeServer, listen} from './listen.js';

const host = '127.0.0.1';
const connections = 20;
const graceMs = 1000;
const longGraceMs = 2000;
const request = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

async function exchange(socket: Socket): Promise<string> {
	socket.write(request);
	const [answer] = await once(socket, 'data', {signal: AbortSignal.timeout(graceMs)}) as [Uint8Array];
	return String(answer);
}

async function statusOf(socket: Socket): Promise<string> {
	try {
		const answer = await exchange(socket);
		return answer.slice(0, 'HTTP/1.1 200'.length);
	} catch (error) {
		return String(error);
	}
}

describe('closeServer', () => {
	// Guards against calls that are reset on kept connections as the instance stops.
	it('should answer the requests that have already arrived on kept connections', async () => {
		const server = createServer((_request, response) => {
			response.end('x');
		});
		const listening = await listen(server, 'callers', {host, port: 0});
		const {port} = listening._unsafeUnwrap();
		const sockets = Array.from({length: connections}, () => connect(port, host));
		await Promise.all(sockets.map(async socket => exchange(socket)));
		const statuses = Promise.all(sockets.map(async socket => statusOf(socket)));
		await closeServer(server, graceMs);
		assert.deepEqual(await statuses, sockets.map(() => 'HTTP/1.1 200'));
	});

	// Guards against whole requests that are reset because their connections wait to be accepted.
	it('should answer the requests of all connections that wait as it closes', async () => {
		const server = createServer((_request, response) => {
			response.end();
		});
		const listening = await listen(server, 'callers', {host, port: 0});
		const {port} = listening._unsafeUnwrap();
		const answers = Array.from({length: connections}, async () => {
			const socket = connect(port, host);
			socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
			try {
				const [data] = await once(socket, 'data') as [Uint8Array];
				return String(data).slice(0, 15);
			} catch (error) {
				return (error as NodeJS.ErrnoException).code;
			}
		});
		await closeServer(server, longGraceMs);
		assert.deepEqual(await Promise.all(answers), Array.from({length: connections}, () => 'HTTP/1.1 200 OK'));
	});
});
