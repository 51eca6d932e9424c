/** An HTTP server on the loopback interface that can be closed and reopened on the same port. */
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {heldPortHost, holdPort} from './held-port.js';
import {resetSocket} from './reset-socket.js';

const usualHost = '127.0.0.1';

export type ListenerOptions = {
	/** Whether other programs on this machine can't take its port while it is closed. */
	readonly keepsPort?: boolean;
};

/** Wraps an HTTP server and tracks its connections, so that they can be reset. */
export class Listener {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #keepsPort: boolean;
	#port = 0;

	constructor(handler: RequestListener, {keepsPort = false}: ListenerOptions = {}) {
		this.#keepsPort = keepsPort;
		this.#server = createServer({keepAliveTimeout: 60_000, requestTimeout: 0}, handler);
		this.#server.on('connection', socket => {
			socket.setNoDelay(true);
			this.#sockets.add(socket);
			socket.once('close', () => this.#sockets.delete(socket));
		});
		this.#server.on('clientError', (_error, socket) => {
			socket.destroy();
		});
	}

	/** `IP:port`; known after the first `open`. */
	get address(): string {
		return `${this.#host}:${this.#port}`;
	}

	get url(): string {
		return `http://${this.address}`;
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#sockets.size;
	}

	get #host(): string {
		return this.#keepsPort ? heldPortHost : usualHost;
	}

	/** Listens on `port`, or on the previous port if none is given; 0 picks a free port. */
	async open(port: number = this.#port): Promise<void> {
		if (this.#server.listening) {
			return;
		}

		this.#server.listen(port === 0 && this.#keepsPort ? await holdPort() : port, this.#host);
		await once(this.#server, 'listening');
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	/** Resets all connections; the port stays open. */
	resetConnections(): void {
		for (const socket of this.#sockets) {
			resetSocket(socket);
		}
	}

	/** Resets all connections and refuses new ones until `open` is called again. */
	async close(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		const closed = once(this.#server, 'close');
		this.#server.close();
		this.resetConnections();
		await closed;
	}
}
