/** All requests of callers that have no complete answer yet. */
import {requestStates, type RequestState} from '@cairnbank/core/connections';
import {InFlight} from '../../kernel/in-flight.js';
import type {OpenRequest} from './open-request.js';

export class OpenRequests extends InFlight<OpenRequest> {
	/** Keeps the request until its response closes. */
	override add(request: OpenRequest): void {
		super.add(request);
		request.response.once('close', () => {
			this.delete(request);
		});
	}

	/** Returns the number of requests in each state. */
	countByState(): ReadonlyMap<RequestState, number> {
		const counts = new Map<RequestState, number>(requestStates.map(state => [state, 0]));
		for (const {state} of this) {
			counts.set(state, counts.get(state)! + 1);
		}

		return counts;
	}
}
