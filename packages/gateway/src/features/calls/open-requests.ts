/** All requests of callers that have no complete answer yet. */
import {requestStates, type RequestState} from '@cairnbank/core/connections';
import type {OpenRequest} from './open-request.js';

export class OpenRequests implements Iterable<OpenRequest> {
	readonly #requests = new Set<OpenRequest>();

	get size(): number {
		return this.#requests.size;
	}

	[Symbol.iterator](): Iterator<OpenRequest> {
		return this.#requests.values();
	}

	/** Keeps the request until its response closes. */
	add(request: OpenRequest): void {
		this.#requests.add(request);
		request.response.once('close', () => {
			this.#requests.delete(request);
		});
	}

	/** Returns the number of requests in each state. */
	countByState(): ReadonlyMap<RequestState, number> {
		const counts = new Map<RequestState, number>(requestStates.map(state => [state, 0]));
		for (const {state} of this.#requests) {
			counts.set(state, counts.get(state)! + 1);
		}

		return counts;
	}
}
