/** Counts how often an upstream actually ran each request; tests of at-most-once delivery compare results with these counts. */
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

export const requestIdHeader = 'x-request-id';

export type RunCounts = Readonly<Record<string, number>>;

/** Returns the request's id, or a hash of method, path and body if it has none. */
export function requestIdOf(request: IncomingMessage, body: Uint8Array): string {
	const id = request.headers[requestIdHeader];
	if (typeof id === 'string') {
		return id;
	}

	return createHash('sha256').update(`${request.method} ${request.url}\n`).update(body).digest('hex').slice(0, 32);
}

/** Number of runs by request id; a run counts from the start of its work. */
export class RunCounter {
	readonly #runs = new Map<string, number>();

	get total(): number {
		let total = 0;
		for (const runs of this.#runs.values()) {
			total += runs;
		}

		return total;
	}

	add(requestId: string): void {
		this.#runs.set(requestId, this.countOf(requestId) + 1);
	}

	countOf(requestId: string): number {
		return this.#runs.get(requestId) ?? 0;
	}

	counts(): RunCounts {
		return Object.fromEntries(this.#runs);
	}

	clear(): void {
		this.#runs.clear();
	}
}

/** Sums the runs by request id over several upstreams. */
export function sumRuns(all: readonly RunCounts[]): Map<string, number> {
	const sum = new Map<string, number>();
	for (const counts of all) {
		for (const [id, runs] of Object.entries(counts)) {
			sum.set(id, (sum.get(id) ?? 0) + runs);
		}
	}

	return sum;
}
