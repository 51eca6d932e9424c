/** Ends the connections of a port in order as its instance stops: the next answer on each is its last. */
import type {Server, ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';

export class LastAnswers {
	readonly #server: Server;
	readonly #unanswered = new Set<ServerResponse>();
	#isLeaving = false;

	constructor(server: Server) {
		this.#server = server;
		server.prependListener('request', (_request, response) => {
			this.#track(response);
		});
	}

	/** Called when a graceful stop begins. */
	leave(): void {
		this.#isLeaving = true;
		for (const response of this.#unanswered) {
			response.shouldKeepAlive = false;
		}
	}

	/** Closes idle connections, once the requests that have already arrived on them are read. */
	async closeIdle(): Promise<void> {
		// The event loop polls the sockets between the two turns.
		await nextTurn();
		await nextTurn();
		this.#server.closeIdleConnections();
	}

	#track(response: ServerResponse): void {
		if (this.#isLeaving) {
			response.shouldKeepAlive = false;
			return;
		}

		this.#unanswered.add(response);
		response.once('close', () => {
			this.#unanswered.delete(response);
		});
	}
}
