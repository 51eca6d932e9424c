/** An upstream that writes answers to the socket byte for byte, for answers that HTTP libraries do not produce. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';

export type RawAnswer = {
	/** Status line, headers and body exactly as sent; an empty string sends nothing. */
	readonly text: string;
	/** What happens to the connection right after the text is written. */
	readonly end: 'keep' | 'close' | 'reset';
};

/** Answers the n-th request on a connection with the n-th answer, and further requests with the last answer. */
export class RawUpstream {
	/** Number of requests whose head arrived, over all connections. */
	requests = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#serve(socket);
	});

	constructor(private readonly answers: readonly RawAnswer[]) {}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<this> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return this;
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
		await once(this.#server, 'close');
	}

	#serve(socket: Socket): void {
		let answered = 0;
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => this.#sockets.delete(socket));
		socket.on('data', data => {
			if (!data.includes(' HTTP/1.1\r\n')) {
				return;
			}

			this.requests += 1;
			const {text, end} = this.answers[Math.min(answered, this.answers.length - 1)]!;
			answered += 1;
			socket.write(text, () => {
				endConnection(socket, end);
			});
		});
	}
}

function endConnection(socket: Socket, end: RawAnswer['end']): void {
	switch (end) {
		case 'keep': {
			break;
		}

		case 'close': {
			socket.end();
			break;
		}

		case 'reset': {
			// Delays the reset, because it could overtake the bytes that were just written.
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		}
	}
}
