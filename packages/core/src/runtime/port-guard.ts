/** Bounds the connections of a port, and the requests on each of them whose answers are due. */
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionBound} from '../connections/connection-bound.js';
import {discardFurtherBytes} from './discard-further-bytes.js';
import {skipRequestsIf} from './skip-requests.js';

/** Requests without an answer on one connection, the last of which closes it; few callers send more than some ahead. */
const maximumUnanswered = 64;

export type PortGuardOptions = {
	readonly maximumConnections: number;
	/** Called for each connection that is ended because there are too many. */
	readonly onTooMany: () => void;
	/** Returns whether a connection with open requests may be ended, as none of them runs. */
	readonly mayEnd?: (socket: Socket) => boolean;
};

export class PortGuard {
	readonly #options: PortGuardOptions;
	readonly #bound: ConnectionBound<Socket>;
	/** Number of unanswered requests of each connection that has any. */
	readonly #unanswered = new Map<Socket, number>();
	/** Connections that close behind the requests that have arrived. */
	readonly #closing = new WeakSet<Socket>();

	constructor(server: Server, options: PortGuardOptions) {
		this.#options = options;
		this.#bound = new ConnectionBound(options.maximumConnections);
		server.on('connection', (socket: Socket) => {
			this.#opened(socket);
		});
	}

	/** Returns the number of requests of a connection that are not answered. */
	unansweredOf(socket: Socket): number {
		return this.#unanswered.get(socket) ?? 0;
	}

	/** Drops what arrives on a connection from now on. */
	closeBehind(socket: Socket): void {
		if (!this.#closing.has(socket)) {
			this.#closing.add(socket);
			discardFurtherBytes(socket);
		}
	}

	/** Records a request that will be answered. */
	received(socket: Socket, response: ServerResponse): void {
		const unanswered = this.unansweredOf(socket) + 1;
		this.#unanswered.set(socket, unanswered);
		this.#bound.busy(socket);
		if (unanswered === maximumUnanswered) {
			this.closeBehind(socket);
			response.shouldKeepAlive = false;
		}

		response.once('close', () => {
			const left = this.unansweredOf(socket) - 1;
			if (left > 0) {
				this.#unanswered.set(socket, left);
			} else {
				this.#unanswered.delete(socket);
				this.#bound.resting(socket);
			}
		});
	}

	#opened(socket: Socket): void {
		skipRequestsIf(socket, () => socket.destroyed || this.#closing.has(socket));
		socket.once('close', () => {
			this.#bound.closed(socket);
			this.#unanswered.delete(socket);
		});
		const {mayEnd, onTooMany} = this.#options;
		const tooMany = this.#bound.opened(socket, mayEnd);
		if (tooMany !== undefined) {
			tooMany.destroy();
			onTooMany();
		}
	}
}
