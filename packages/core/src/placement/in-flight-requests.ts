/** Tracks this instance's requests at one upstream and derives the upstream's speed from them; used where it reports no load. */
import type {Clock} from '../model/clock.js';

/** Time for which the duration of a finished request is used as the speed; the speed of upstreams changes about twice a second. */
const observationLifetimeMs = 400;
/** Work varies by a third, so an upstream where a request takes up to this many times its work counts as running at usual speed. */
const maximumUsualRatio = 1.3;

/**
 * A request that takes more than this many times its expected duration plus `overdueToleranceMs` may never be answered: few requests
 * at idle upstreams take more than twice their usual time, and no answer is delayed in transit by more than the tolerance.
 */
const overdueRatio = 2;
const overdueToleranceMs = 10;

/** A request in flight; the caller passes it back when the request ends. */
export type InFlightRequest = {
	/** Processing time at an upstream of usual speed. */
	readonly workMs: number;
	/** Time until the answer, as expected when the request was sent. */
	readonly expectedMs: number;
	readonly sentAtMs: number;
	/** Number of load reports received from the upstream before the request was sent. */
	readonly reportCount: number;
};

export class InFlightRequests {
	readonly #clock: Clock;
	readonly #inFlight = new Set<InFlightRequest>();
	#observedSlowness = 1;
	#observedAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	add(workMs: number, expectedMs: number, reportCount: number): InFlightRequest {
		const request = {
			workMs, expectedMs, reportCount, sentAtMs: this.#clock.monotonicMs(),
		};
		this.#inFlight.add(request);
		return request;
	}

	/** @param isComplete - whether the request ran to its end, so that its duration reflects the upstream's speed */
	remove(request: InFlightRequest, isComplete: boolean): void {
		this.#inFlight.delete(request);
		if (isComplete) {
			this.#observedSlowness = this.#ratio(request);
			this.#observedAtMs = this.#clock.monotonicMs();
		}
	}

	/** Whether any request has been without an answer for much longer than expected. */
	get hasOverdue(): boolean {
		return [...this.#inFlight].some(request => this.isOverdue(request));
	}

	isOverdue({sentAtMs, expectedMs}: InFlightRequest): boolean {
		return this.#clock.monotonicMs() - sentAtMs > (expectedMs * overdueRatio) + overdueToleranceMs;
	}

	/** Ratio of the current processing time to the usual one, from the last complete request and from those in flight so far. */
	get slowness(): number {
		const isFresh = this.#clock.monotonicMs() - this.#observedAtMs <= observationLifetimeMs;
		const slowness = Math.max(isFresh ? this.#observedSlowness : 1, ...[...this.#inFlight].map(request => this.#ratio(request)));
		return slowness <= maximumUsualRatio ? 1 : slowness;
	}

	#ratio({sentAtMs, workMs}: InFlightRequest): number {
		return (this.#clock.monotonicMs() - sentAtMs) / workMs;
	}
}
