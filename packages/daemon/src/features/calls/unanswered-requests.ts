/** Tracks the requests on each caller connection that are not answered yet. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export class UnansweredRequests {
	readonly #byConnection = new WeakMap<Socket, Set<ServerResponse>>();
	/** Connections that close after the answers that are still due. */
	readonly #closing = new WeakSet<Socket>();

	/**
	 * Records a request. The answers before it keep the connection open for its own.
	 * @returns false if an answer before it has ended the connection already; the request must not run then
	 */
	tryBegin(response: ServerResponse): boolean {
		const {socket} = response.req;
		const responses = this.#responsesOf(socket);
		if (socket.writableEnded || this.#closing.has(socket) || [...responses].some(earlier => earlier.headersSent && !earlier.shouldKeepAlive)) {
			return false;
		}

		for (const earlier of responses) {
			earlier.shouldKeepAlive = true;
		}

		responses.add(response);
		response.once('close', () => {
			responses.delete(response);
		});
		return true;
	}

	/**
	 * Closes the connection once the requests that were fully received on it are answered.
	 * @returns false if there are none
	 */
	closeAfterAnswers(connection: Socket): boolean {
		const last = [...this.#byConnection.get(connection) ?? []].findLast(({req}) => req.complete);
		if (last === undefined) {
			return false;
		}

		if (!this.#closing.has(connection)) {
			this.#closing.add(connection);
			last.shouldKeepAlive = false;
			last.once('close', () => {
				connection.destroySoon();
			});
		}

		return true;
	}

	#responsesOf(connection: Socket): Set<ServerResponse> {
		const known = this.#byConnection.get(connection);
		if (known !== undefined) {
			return known;
		}

		const responses = new Set<ServerResponse>();
		this.#byConnection.set(connection, responses);
		connection.once('close', () => {
			closeQueued(responses);
		});
		return responses;
	}
}

/** Closes the responses that wait behind others; Node.js closes only the one whose answer comes next. */
function closeQueued(responses: ReadonlySet<ServerResponse>): void {
	for (const response of [...responses].filter(({socket}) => socket === null)) {
		response.destroy();
		response.emit('close');
	}
}
