/** Tracks the requests on each caller connection that are not answered yet. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

export class UnansweredRequests {
	readonly #byConnection = new WeakMap<Socket, Set<IncomingMessage>>();

	begin(request: IncomingMessage): void {
		const requests = this.#byConnection.get(request.socket);
		if (requests === undefined) {
			this.#byConnection.set(request.socket, new Set([request]));
		} else {
			requests.add(request);
		}
	}

	end(request: IncomingMessage): void {
		this.#byConnection.get(request.socket)?.delete(request);
	}

	/** Returns whether a fully received request of this connection may be running. */
	mayBeRunning(connection: Socket): boolean {
		return [...this.#byConnection.get(connection) ?? []].some(({complete}) => complete);
	}
}
