/** An upstream on bare TCP: counts how often each request's head arrives, and ends connections as it is told. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** What happens once a request has arrived. */
export type RawReaction =
	| 'answer'
	/** The connection ends right after the answer, without notice. */
	| 'answer-and-reset'
	| 'answer-with-close'
	| 'reset'
	| 'end'
	/** Before its body has arrived. */
	| 'reset-at-first-byte'
	| 'half-answer'
	/** No length: where the connection ends, nobody knows whether the answer did. */
	| 'answer-without-length'
	| 'silence';

const idPattern = /x-request-id: (?<id>[\w-]+)\r\n/giu;
const body = 'whole';
const head = 'HTTP/1.1 200 OK\r\n';
const whole = `${head}content-length: ${body.length}\r\n\r\n${body}`;
const wholeWithClose = `${head}connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

export class RawUpstream {
	reaction: RawReaction = 'answer';
	readonly #receipts = new Map<string, number>();
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			this.#take(socket, chunk.toString('latin1'));
		});
	});

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** How often the head of this request arrived, on any connection. */
	receiptsOf(id: string): number {
		return this.#receipts.get(id) ?? 0;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#take(socket: Socket, text: string): void {
		const ids = [...text.matchAll(idPattern)].map(match => match.groups!.id!);
		for (const id of ids) {
			this.#receipts.set(id, this.receiptsOf(id) + 1);
		}

		if (ids.length > 0 || this.reaction === 'reset-at-first-byte') {
			void this.#react(socket);
		}
	}

	async #react(socket: Socket): Promise<void> {
		switch (this.reaction) {
			case 'answer': {
				socket.write(whole);
				break;
			}

			case 'answer-and-reset': {
				socket.write(whole);
				// The answer leaves first; the reset then meets whatever is sent next.
				await delay(0);
				socket.resetAndDestroy();
				break;
			}

			case 'answer-with-close': {
				socket.end(wholeWithClose);
				break;
			}

			case 'reset':
			case 'reset-at-first-byte': {
				socket.resetAndDestroy();
				break;
			}

			case 'end': {
				socket.end();
				break;
			}

			case 'half-answer': {
				socket.end(whole.slice(0, -2));
				break;
			}

			case 'answer-without-length': {
				socket.end(`${head}\r\n${body}`);
				break;
			}

			case 'silence': {
				break;
			}
		}
	}
}
