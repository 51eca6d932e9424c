/** Closes the connection of a caller so that it gets all that was written. */
import type {Socket} from 'node:net';

export type GracefulCloseOptions = {
	/** Returns the time for which the caller's end is awaited while the instance does not stop. */
	readonly lingerMs: () => number;
	/** Returns whether the instance stops; the end of the stop then ends the connection. */
	readonly isLeaving: () => boolean;
};

export class GracefulClose {
	readonly #socket: Socket;
	readonly #options: GracefulCloseOptions;
	#isDiscarding = false;
	#destroySocket: ((error?: Error) => unknown) | undefined;

	constructor(socket: Socket, options: GracefulCloseOptions) {
		this.#socket = socket;
		this.#options = options;
	}

	/** Reads on without parsing, so that requests that never start need no memory and the caller's end is noticed. */
	discardFurtherBytes(): void {
		if (this.#isDiscarding) {
			return;
		}

		this.#isDiscarding = true;
		const socket = this.#socket;
		// The parser must not be detached while it runs.
		setImmediate(() => {
			// Adding a listener detaches the parser from the socket; removing all then also removes the parser's own.
			socket.on('data', () => undefined);
			socket.removeAllListeners('data');
			socket.on('data', () => undefined);
			socket.resume();
			// Ends the read that the parser may have paused, so that the stream begins another one.
			socket.push('');
		});
	}

	/**
	 * Ends the sending side. Reading goes on until the caller closes its side too: only that shows that the caller has its answers.
	 * Closing before resets the connection as soon as more of the caller's bytes arrive, and drops what it has not read.
	 */
	begin(): void {
		const socket = this.#socket;
		const {lingerMs, isLeaving} = this.#options;
		socket.end();
		const destroy = socket.destroy.bind(socket);
		this.#destroySocket = destroy;
		const timer = setTimeout(() => {
			if (!isLeaving()) {
				destroy();
			}
		}, lingerMs());
		socket.once('close', () => {
			clearTimeout(timer);
		});
		// The server takes the connection for idle and would destroy it as the server closes.
		socket.destroy = error => error === undefined && !socket.readableEnded ? socket : destroy(error);
	}

	/** Destroys the connection, whether the caller has its answers or not. */
	destroy(): void {
		if (this.#destroySocket === undefined) {
			this.#socket.destroy();
		} else {
			this.#destroySocket();
		}
	}
}
