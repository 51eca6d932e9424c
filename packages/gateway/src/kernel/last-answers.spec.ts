import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {waitTurns} from './arrivals.js';
import {LastAnswers} from './last-answers.js';

const host = '127.0.0.1';
/** Fits into the buffers between a server and its caller. */
const longAnswerBytes = 200_000;
const maximumConnections = 3;
/** Requests of one connection that are answered, the last of which closes it. */
const maximumUnanswered = 64;
const turnsAfterAnswer = 10;
const idleTimeoutMs = 100;
/** Longer than the idle time and the second that the runtime adds to it. */
const stallMs = 1500;

function requestFor(path: string): string {
	return `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
}

describe('LastAnswers', () => {
	let server: Server;
	let answers: LastAnswers;
	let socket: Socket;
	let received: string;
	let held: Map<string, ServerResponse>;
	let ended: number;

	beforeEach(async () => {
		server = createServer();
		held = new Map();
		ended = 0;
		answers = new LastAnswers(server, (request, response) => {
			if (request.url!.startsWith('/held')) {
				held.set(request.url!, response);
			} else {
				response.end(request.url);
			}
		}, {
			maximumConnections,
			onTooMany() {
				ended += 1;
			},
		});
		server.listen(0, host);
		await once(server, 'listening');
		socket = connect((server.address() as AddressInfo).port, host);
		received = '';
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		await once(server, 'connection');
	});

	afterEach(() => {
		socket.destroy();
		answers.stop();
	});

	/** Drains the port while its caller reads on. */
	async function answersAreDrainedBeside(caller: Socket): Promise<void> {
		const closed = once(caller, 'close');
		await waitTurns(turnsAfterAnswer);
		caller.resume();
		await answers.drain();
		await closed;
	}

	/** Returns the body and the `Connection` header of each answer. */
	function receivedAnswers(): Array<string | undefined> {
		return received.split('HTTP/1.1 ').slice(1).map(text => `${text.split('\r\n').at(-1)} ${/^connection: (\S+)/im.exec(text)?.[1]}`);
	}

	async function untilHeld(path: string): Promise<void> {
		while (!held.has(path)) {
			await nextTurn();
		}
	}

	// Guards against requests that are dropped because the connection closes with the answer before theirs.
	it('should answer all requests that are sent ahead while the instance leaves, and close with the last', async () => {
		answers.leave();
		socket.write(['/1', '/2', '/3'].map(path => requestFor(path)).join(''));
		await once(socket, 'close');
		assert.deepEqual(receivedAnswers().map(answer => answer!.endsWith('close')), [false, false, true]);
		assert.equal(received.match(/200 OK/g)?.length, 3);
	});

	it('should answer a request that arrives while the one before it is being handled', async () => {
		answers.leave();
		socket.write(requestFor('/held1'));
		await untilHeld('/held1');
		socket.write(requestFor('/held2'));
		await untilHeld('/held2');
		held.get('/held1')!.end();
		held.get('/held2')!.end();
		await once(socket, 'close');
		assert.deepEqual(receivedAnswers().map(answer => answer!.endsWith('close')), [false, true]);
	});

	it('should close behind a request that asks for it, whatever follows', async () => {
		answers.leave();
		socket.write(`GET /held1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n${requestFor('/held2')}`);
		await untilHeld('/held1');
		held.get('/held1')!.end();
		await once(socket, 'close');
		assert.deepEqual(receivedAnswers().map(answer => answer!.endsWith('close')), [true]);
	});

	it('should answer all requests that were sent ahead before the instance leaves', async () => {
		socket.write(requestFor('/held1') + requestFor('/held2'));
		await untilHeld('/held2');
		answers.leave();
		held.get('/held1')!.end();
		held.get('/held2')!.end();
		await once(socket, 'close');
		assert.deepEqual(receivedAnswers().map(answer => answer!.endsWith('close')), [false, true]);
	});

	// Guards against answers that are cut because the port stops while they are made.
	it('should drain once all requests are answered', async () => {
		socket.write(requestFor('/held1'));
		await untilHeld('/held1');
		answers.leave();
		let isDrained = false;
		const closed = once(socket, 'close');
		const drained = (async () => {
			await answers.drain();
			isDrained = true;
		})();
		socket.write(requestFor('/held2'));
		await untilHeld('/held2');
		held.get('/held1')!.end();
		await nextTurn();
		assert.equal(isDrained, false);
		held.get('/held2')!.end();
		await drained;
		await closed;
	});

	// Guards against answers that are lost on their way because the process ends once they are written.
	it('should drain once the other side has closed the connection behind its last answer', async () => {
		answers.leave();
		socket.pause();
		socket.write(requestFor('/held1'));
		await untilHeld('/held1');
		const response = held.get('/held1')!;
		let isDrained = false;
		const drained = (async () => {
			await answers.drain();
			isDrained = true;
		})();
		response.end(Buffer.alloc(longAnswerBytes));
		await once(response, 'close');
		await waitTurns(turnsAfterAnswer);
		assert.equal(isDrained, false);
		socket.resume();
		await drained;
		assert.equal(received.split('\r\n\r\n')[1]?.length, longAnswerBytes);
	});

	// Guards against answers that are reset because their caller sends one more request.
	it('should deliver the last answer whole though one more request arrives behind it', async () => {
		answers.leave();
		socket.pause();
		socket.write(requestFor('/held1'));
		await untilHeld('/held1');
		const response = held.get('/held1')!;
		response.end(Buffer.alloc(longAnswerBytes));
		await once(response, 'close');
		socket.write(requestFor('/2'));
		await answersAreDrainedBeside(socket);
		assert.equal(received.split('\r\n\r\n')[1]?.length, longAnswerBytes);
	});

	// Guards against requests that are reset unread by the idle time-out of their connection.
	it('should answer a request that arrives within the idle time, though the process does not run for longer', async () => {
		server.keepAliveTimeout = idleTimeoutMs;
		socket.write(requestFor('/held1'));
		await untilHeld('/held1');
		held.get('/held1')!.end();
		await once(socket, 'data');
		await waitTurns(turnsAfterAnswer);
		socket.write(requestFor('/2'));
		const untilMs = performance.now() + stallMs;
		while (performance.now() < untilMs) {
			// Nothing else runs meanwhile.
		}

		await once(socket, 'close');
		assert.equal(received.match(/200 OK/g)?.length, 2);
	});

	it('should drain though a caller has disconnected before its answers', async () => {
		socket.write(requestFor('/held1') + requestFor('/held2'));
		await untilHeld('/held2');
		answers.leave();
		socket.destroy();
		await answers.drain();
	});

	it('should end a drain as the port stops', async () => {
		answers.leave();
		const drained = answers.drain();
		answers.stop();
		await drained;
	});

	describe('with callers that do not behave', () => {
		// Guards against thousands of requests that are sent ahead and whose answers are held.
		it('should answer so many requests of a connection that are sent ahead, and close it', async () => {
			socket.write(requestFor('/held') + requestFor('/next').repeat(1000));
			await waitTurns(turnsAfterAnswer);
			held.get('/held')!.end('first');
			await once(socket, 'close');
			assert.equal(received.match(/HTTP\/1\.1 200/g)?.length, maximumUnanswered);
			assert.match(received, /Connection: close\r\n[^]*\/next$/);
		});

		it('should end the connection that has rested for longest where there are too many', async () => {
			const {port} = server.address() as AddressInfo;
			const others: Socket[] = [];
			for (let opened = 0; opened < maximumConnections; opened++) {
				const other = connect(port, host);
				others.push(other);
				await once(server, 'connection');
			}

			await once(socket, 'close');
			assert.equal(ended, 1);
			const newest = others.at(-1)!;
			newest.write(requestFor('/newest'));
			const [answer] = await once(newest, 'data') as [Uint8Array];
			assert.match(Buffer.from(answer).toString(), /newest/);
			for (const other of others) {
				other.destroy();
			}
		});
	});
});
