/** Closes the connection of a caller so that it gets all that was written. */
import type {Socket} from 'node:net';
import {discardFurtherBytes} from '@cairnbank/core/runtime';

export type GracefulCloseOptions = {
	/** Returns the time for which the caller's end is awaited while the instance does not stop. */
	readonly lingerMs: () => number;
	/** Returns whether the instance stops; the end of the stop then ends the connection. */
	readonly isLeaving: () => boolean;
	/** Returns whether the server is destroying the connections that it takes for idle. */
	readonly isEndingIdle: () => boolean;
};

export class GracefulClose {
	readonly #socket: Socket;
	readonly #options: GracefulCloseOptions;
	readonly #destroySocket: (error?: Error) => Socket;
	#hasBegun = false;
	#isDiscarding = false;

	/** @param onIdle - called in place of the end of the connection if the server takes it for idle */
	constructor(socket: Socket, options: GracefulCloseOptions, onIdle: () => void) {
		this.#socket = socket;
		this.#options = options;
		this.#destroySocket = socket.destroy.bind(socket);
		socket.destroy = error => {
			if (error === undefined && options.isEndingIdle()) {
				onIdle();
				return socket;
			}

			// The server takes a connection for idle whose caller has not read its last answer yet.
			return error === undefined && this.#hasBegun && !socket.readableEnded ? socket : this.#destroySocket(error);
		};
	}

	get hasBegun(): boolean {
		return this.#hasBegun;
	}

	/** Reads on without parsing, so that requests that never start need no memory and the caller's end is noticed. */
	discardFurtherBytes(): void {
		if (this.#isDiscarding) {
			return;
		}

		this.#isDiscarding = true;
		discardFurtherBytes(this.#socket);
	}

	/**
	 * Ends the sending side. Reading goes on until the caller closes its side too: only that shows that the caller has its answers.
	 * Closing before resets the connection as soon as more of the caller's bytes arrive, and drops what it has not read.
	 */
	begin(): void {
		const socket = this.#socket;
		if (this.#hasBegun || socket.destroyed || socket.writableEnded) {
			return;
		}

		const {lingerMs, isLeaving} = this.#options;
		this.#hasBegun = true;
		socket.end();
		const timer = setTimeout(() => {
			if (!isLeaving()) {
				this.destroy();
			}
		}, lingerMs());
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Destroys the connection, whether the caller has its answers or not. */
	destroy(): void {
		this.#destroySocket();
	}
}
