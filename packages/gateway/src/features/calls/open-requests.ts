/** All requests of callers that have no complete answer yet. */
import {requestStates, type RequestState} from '@cairnbank/core/connections';
import type {Gauge} from 'prom-client';
import type {Metrics} from '../../metrics/metrics.js';
import type {OpenRequest} from './open-request.js';

export class OpenRequests implements Iterable<OpenRequest> {
	readonly #requests = new Set<OpenRequest>();
	readonly #size: Pick<Gauge, 'set'>;
	readonly #onEmpty: Array<() => void> = [];

	constructor({inFlight}: Pick<Metrics, 'inFlight'>) {
		this.#size = inFlight;
	}

	get size(): number {
		return this.#requests.size;
	}

	[Symbol.iterator](): Iterator<OpenRequest> {
		return this.#requests.values();
	}

	/** Keeps the request until its response closes. */
	add(request: OpenRequest): void {
		this.#requests.add(request);
		this.#size.set(this.#requests.size);
		request.response.once('close', () => {
			this.#remove(request);
		});
	}

	/** Resolves once there is none. */
	async untilEmpty(): Promise<void> {
		while (this.#requests.size > 0) {
			await new Promise<void>(resolve => {
				this.#onEmpty.push(resolve);
			});
		}
	}

	/** Returns the number of requests in each state. */
	countByState(): ReadonlyMap<RequestState, number> {
		const counts = new Map<RequestState, number>(requestStates.map(state => [state, 0]));
		for (const {state} of this.#requests) {
			counts.set(state, counts.get(state)! + 1);
		}

		return counts;
	}

	#remove(request: OpenRequest): void {
		this.#requests.delete(request);
		this.#size.set(this.#requests.size);
		if (this.#requests.size === 0) {
			for (const resolve of this.#onEmpty.splice(0)) {
				resolve();
			}
		}
	}
}
