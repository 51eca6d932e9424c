/** Upstream stand-in on a plain TCP server. It counts how often each request's head arrives and ends connections as its `reaction` says. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** What the upstream does once a request has arrived. */
export type UpstreamReaction =
	| 'answer'
	/** Resets the connection right after the answer, without announcing it. */
	| 'answer-and-reset'
	| 'answer-with-close'
	| 'reset'
	| 'end'
	/** Resets the connection before the request's body has arrived. */
	| 'reset-at-first-byte'
	| 'half-answer'
	/** Sends no length, so the end of the connection doesn't show whether the answer is complete. */
	| 'answer-without-length'
	| 'silence';

const idPattern = /x-request-id: (?<id>[\w-]+)\r\n/giu;
const body = 'whole';
const head = 'HTTP/1.1 200 OK\r\n';
const completeAnswer = `${head}content-length: ${body.length}\r\n\r\n${body}`;
const completeAnswerWithClose = `${head}connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

export class ReceiptCountingUpstream {
	reaction: UpstreamReaction = 'answer';
	readonly #receipts = new Map<string, number>();
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			this.#receive(socket, chunk.toString('latin1'));
		});
	});

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Returns how often the head of this request has arrived, on any connection. */
	receiptCount(id: string): number {
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

	#receive(socket: Socket, text: string): void {
		const ids = [...text.matchAll(idPattern)].map(match => match.groups!.id!);
		for (const id of ids) {
			this.#receipts.set(id, this.receiptCount(id) + 1);
		}

		if (ids.length > 0 || this.reaction === 'reset-at-first-byte') {
			void this.#react(socket);
		}
	}

	async #react(socket: Socket): Promise<void> {
		switch (this.reaction) {
			case 'answer': {
				socket.write(completeAnswer);
				break;
			}

			case 'answer-and-reset': {
				socket.write(completeAnswer);
				// Yields once, so that the answer is sent first and the reset hits the next request.
				await delay(0);
				socket.resetAndDestroy();
				break;
			}

			case 'answer-with-close': {
				socket.end(completeAnswerWithClose);
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
				socket.end(completeAnswer.slice(0, -2));
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
