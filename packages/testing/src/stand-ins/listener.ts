/** An HTTP server on the loopback interface that can be closed and reopened on the same port. */
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {resetSocket} from './reset-socket.js';

const host = '127.0.0.1';

/** Wraps an HTTP server and tracks its connections, so that they can be reset. */
export class Listener {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#port = 0;

	constructor(handler: RequestListener) {
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
		return `${host}:${this.#port}`;
	}

	get url(): string {
		return `http://${this.address}`;
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#sockets.size;
	}

	/** Listens on `port`, or on the previous port if none is given; 0 picks a free port. */
	async open(port: number = this.#port): Promise<void> {
		if (this.#server.listening) {
			return;
		}

		this.#server.listen(port, host);
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
