/** An upstream that sends exact bytes, for answers that no HTTP library would write. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';

export type RawAnswer = {
	/** Status line, headers and body as they go out; empty sends nothing. */
	readonly text: string;
	/** What follows at once. */
	readonly end: 'keep' | 'close' | 'reset';
};

/** Answers the n-th request on a connection with the n-th answer, and all later ones with the last. */
export class RawUpstream {
	/** Requests whose head arrived, over all connections. */
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
			// The bytes before must have arrived: a reset may overtake them.
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		}
	}
}
