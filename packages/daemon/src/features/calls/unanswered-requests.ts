/** Tracks the requests on each caller connection that are not answered yet. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export class UnansweredRequests {
	readonly #byConnection = new WeakMap<Socket, Set<ServerResponse>>();

	/**
	 * Records a request. The answers before it keep the connection open for its own.
	 * @returns false if an answer before it has ended the connection already; the request must not run then
	 */
	tryBegin(response: ServerResponse): boolean {
		const {socket} = response.req;
		const responses = this.#responsesOf(socket);
		if (socket.writableEnded || [...responses].some(earlier => earlier.headersSent && !earlier.shouldKeepAlive)) {
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

	/** Returns whether a fully received request of this connection may be running. */
	mayBeRunning(connection: Socket): boolean {
		return [...this.#byConnection.get(connection) ?? []].some(({req}) => req.complete);
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
