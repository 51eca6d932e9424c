import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {readInTurn} from './read-turns.js';

const connections = 6;
/** More than is read of a connection at once, 64 KiB. */
const chunkCount = 60_000;
const chunk = '1\r\nx\r\n';

describe('readInTurn', () => {
	let server: Server;
	let readInThisTurn: Set<Socket>;
	let mostInTurn: number;
	const whole: Socket[] = [];
	const sockets: Socket[] = [];

	beforeEach(async () => {
		readInThisTurn = new Set();
		mostInTurn = 0;
		whole.length = 0;
		server = createServer((request, response) => {
			let parts = 0;
			request.on('data', () => {
				parts += 1;
				readInThisTurn.add(request.socket);
				readInTurn(request.socket);
			});
			request.on('end', () => {
				assert.equal(parts, chunkCount);
				whole.push(request.socket);
				response.end();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.close();
	});

	// Guards against turns of the event loop in which megabytes of small chunks are read, while nothing else runs.
	it('should read one of the connections that wait in a turn, and each of them whole', async () => {
		for (let index = 0; index < connections; index++) {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			sockets.push(socket);
			socket.write(`POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunkCount)}0\r\n\r\n`);
			socket.resume();
		}

		for (let turns = 0; whole.length < connections && turns < 1_000_000; turns++) {
			await nextTurn();
			// All of them are read once before any of them waits.
			mostInTurn = whole.length === 0 && turns < connections * connections ? 0 : Math.max(mostInTurn, readInThisTurn.size);
			readInThisTurn.clear();
		}

		assert.equal(whole.length, connections);
		assert.ok(mostInTurn <= 2, `${mostInTurn} connections in one turn`);
	});
});
