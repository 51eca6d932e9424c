/** A loopback proxy in front of an upstream. It can delay or drop the traffic, or reset connections. */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {resetSocket} from '@cairnbank/testing/stand-ins';

export type LinkFault =
	| {readonly type: 'none'}
	| {readonly type: 'delay'; readonly delayMs: number}
	/** Drops the data of both directions. */
	| {readonly type: 'silent'}
	/** Forwards requests and drops answers. */
	| {readonly type: 'answers-silent'}
	/** Resets all open connections, and new ones as they are accepted. */
	| {readonly type: 'reset'};

const host = '127.0.0.1';

export class LinkProxy {
	readonly #target: string;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer({noDelay: true}, socket => {
		this.#accept(socket);
	});

	#fault: LinkFault = {type: 'none'};

	/** @param target - `IP:port` */
	constructor(target: string) {
		this.#target = target;
	}

	get address(): string {
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<this> {
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return this;
	}

	stop(): void {
		this.#server.close();
		this.#resetAll();
	}

	/** Sets the fault. After a silent fault, connections are reset because parts of their data were dropped. */
	setFault(fault: LinkFault): void {
		const wasSilent = this.#fault.type === 'silent' || this.#fault.type === 'answers-silent';
		this.#fault = fault;
		if (wasSilent || fault.type === 'reset') {
			this.#resetAll();
		}
	}

	#resetAll(): void {
		for (const socket of this.#sockets) {
			resetSocket(socket);
		}
	}

	#accept(client: Socket): void {
		const [ip, port] = this.#target.split(':');
		const server = connect({host: ip!, port: Number(port), noDelay: true});
		for (const [from, to, isAnswer] of [[client, server, false], [server, client, true]] as const) {
			this.#sockets.add(from);
			from.on('data', chunk => {
				this.#forward(chunk, to, isAnswer);
			});
			from.on('error', () => {
				resetSocket(to);
			});
			from.on('end', () => {
				// A reset that comes together with data is reported as an end; the peer's address is then unknown.
				if (from.remoteAddress === undefined) {
					resetSocket(to);
				} else {
					to.end();
				}
			});
			from.on('close', () => {
				this.#sockets.delete(from);
				to.destroy();
			});
		}

		if (this.#fault.type === 'reset') {
			resetSocket(client);
		}
	}

	#forward(chunk: Uint8Array, to: Socket, isAnswer: boolean): void {
		const fault = this.#fault;
		switch (fault.type) {
			case 'none':
			case 'reset': {
				to.write(chunk);
				break;
			}

			case 'delay': {
				setTimeout(() => {
					to.write(chunk);
				}, fault.delayMs);
				break;
			}

			case 'silent': {
				break;
			}

			case 'answers-silent': {
				if (!isAnswer) {
					to.write(chunk);
				}
			}
		}
	}
}
