/** The requests on each caller's connection that have no answer yet. */
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

	/** Whether a request that came whole over this connection may be running. */
	mayBeRunning(connection: Socket): boolean {
		return [...this.#byConnection.get(connection) ?? []].some(({complete}) => complete);
	}
}
