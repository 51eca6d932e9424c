/** Serves a port whose connections end in order as its instance stops: the last answer that is due on each closes it. */
import type {
	IncomingMessage, RequestListener, Server, ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {PortGuard} from '@cairnbank/core/runtime';
import {untilArrivalsAreRead, waitTurns} from './arrivals.js';
import type {ConnectionLimit} from './connection-limit.js';
import {closeIdleConnectionsOnceRead} from './idle-connections.js';
import {InFlight} from './in-flight.js';

/** Turns of the event loop in which the requests behind one are read. */
const turnsToRead = 2;

export class LastAnswers {
	readonly #server: Server;
	readonly #handle: RequestListener;
	readonly #unanswered = new InFlight<ServerResponse>();
	/** Connections whose last answer is written and which the other side has not closed yet. */
	readonly #ending = new InFlight<Socket>();
	readonly #guard: PortGuard;
	/** Response to the last request of each connection. */
	readonly #newest = new WeakMap<Socket, ServerResponse>();
	/** Responses that close their connections only because the instance leaves. */
	readonly #closing = new WeakSet<ServerResponse>();
	#arrivals = 0;
	#isLeaving = false;
	#isStopped = false;

	constructor(server: Server, handle: RequestListener, limit: ConnectionLimit) {
		this.#server = server;
		this.#handle = handle;
		closeIdleConnectionsOnceRead(server);
		server.on('connection', (socket: Socket) => {
			this.#arrivals += 1;
			this.#endGracefully(socket);
			socket.once('close', () => {
				this.#ending.delete(socket);
				this.#forget(socket);
			});
		});
		this.#guard = new PortGuard(server, limit);
		server.on('request', (request, response) => {
			this.#arrivals += 1;
			void this.#receive(request, response);
		});
	}

	/** Whether requests are unanswered, or the other side has not closed a connection behind its last answer. */
	get isBusy(): boolean {
		return this.#unanswered.size > 0 || this.#ending.size > 0;
	}

	/** Called when a graceful stop begins. */
	leave(): void {
		this.#isLeaving = true;
		for (const response of this.#unanswered) {
			if (this.#newest.get(response.req.socket) === response) {
				this.#close(response);
			}
		}
	}

	/** Resolves once all that has arrived is answered, and the answers that close their connections are read; closes idle connections. What arrives later on new ones is answered too. */
	async drain(): Promise<void> {
		await untilArrivalsAreRead(() => this.#arrivals, () => this.#isStopped);
		this.#server.closeIdleConnections();
		await this.#unanswered.untilEmpty();
		await this.#ending.untilEmpty();
	}

	/** Closes the listener and all connections. */
	stop(): void {
		this.#isStopped = true;
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {socket} = request;
		if (socket.writableEnded) {
			request.resume();
			return;
		}

		this.#guard.received(socket, response);
		const previous = this.#newest.get(socket);
		this.#newest.set(socket, response);
		this.#unanswered.add(response);
		response.once('close', () => {
			this.#unanswered.delete(response);
		});
		if (this.#isLeaving) {
			this.#reopen(previous);
			this.#close(response);
			await waitTurns(turnsToRead);
		}

		this.#handle(request, response);
	}

	/**
	 * Replaces what the server does behind a last answer while the instance leaves: only the sending side ends. The close of the other side is the
	 * only sign that it has the answer, which closing with unread bytes would reset.
	 */
	#endGracefully(socket: Socket): void {
		const destroySoon = socket.destroySoon.bind(socket);
		const destroy = socket.destroy.bind(socket);
		socket.destroySoon = () => {
			if (!this.#isLeaving) {
				destroySoon();
			} else if (!socket.destroyed && !socket.writableEnded) {
				this.#ending.add(socket);
				// The server takes the connection for idle.
				socket.destroy = error => error === undefined && !socket.readableEnded && !this.#isStopped ? socket : destroy(error);
				socket.end();
			}
		};
	}

	#close(response: ServerResponse): void {
		if (response.shouldKeepAlive) {
			this.#closing.add(response);
			response.shouldKeepAlive = false;
		}
	}

	/** Keeps the connection open behind a response, as a request has arrived behind its own. */
	#reopen(response: ServerResponse | undefined): void {
		if (response !== undefined && this.#closing.has(response) && !response.headersSent) {
			response.shouldKeepAlive = true;
		}
	}

	/** Node.js closes only the response whose turn it is when its connection closes. */
	#forget(socket: Socket): void {
		for (const response of this.#unanswered) {
			if (response.req.socket === socket) {
				this.#unanswered.delete(response);
			}
		}
	}
}
