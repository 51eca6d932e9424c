/** What an instance's own requests at one upstream tell of its speed; the only sign where it tells no load. */
import type {Clock} from '../model/clock.js';

/** How long a finished request tells of the speed: upstreams change it about twice a second. */
const observationLifetimeMs = 400;
/** Work varies by a third; what takes no longer than this times the usual is at an upstream of usual speed. */
const usualVariation = 1.3;

/**
 * A request that takes this many times what was expected, and longer by more than an answer is ever held up on its way,
 * may never be answered: few requests at idle upstreams take over twice the usual.
 */
const overdueRatio = 2;
const overdueToleranceMs = 10;

/** One request under way; handed back as it ends. */
export type InFlightRequest = {
	/** Work at an upstream of usual speed. */
	readonly workMs: number;
	/** Time until its answer, as it was expected when it was sent. */
	readonly expectedMs: number;
	readonly sentAtMs: number;
	/** Number of load reports of the upstream before it was sent. */
	readonly reports: number;
};

export class InFlightRequests {
	readonly #clock: Clock;
	readonly #underWay = new Set<InFlightRequest>();
	#slowness = 1;
	#observedAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	add(workMs: number, expectedMs: number, reports: number): InFlightRequest {
		const request = {
			workMs, expectedMs, reports, sentAtMs: this.#clock.monotonicMs(),
		};
		this.#underWay.add(request);
		return request;
	}

	/** @param isWhole - whether it ran to its end, so that its time tells of the speed */
	remove(request: InFlightRequest, isWhole: boolean): void {
		this.#underWay.delete(request);
		if (isWhole) {
			this.#slowness = this.#ratio(request);
			this.#observedAtMs = this.#clock.monotonicMs();
		}
	}

	/** A request has had no answer for much longer than expected. */
	get hasOverdue(): boolean {
		return [...this.#underWay].some(request => this.isOverdue(request));
	}

	isOverdue({sentAtMs, expectedMs}: InFlightRequest): boolean {
		return this.#clock.monotonicMs() - sentAtMs > (expectedMs * overdueRatio) + overdueToleranceMs;
	}

	/** Time that work takes now against the usual: from the last request that ended, and from those that are overdue. */
	get slowness(): number {
		const isFresh = this.#clock.monotonicMs() - this.#observedAtMs <= observationLifetimeMs;
		const slowness = Math.max(isFresh ? this.#slowness : 1, ...[...this.#underWay].map(request => this.#ratio(request)));
		return slowness <= usualVariation ? 1 : slowness;
	}

	#ratio({sentAtMs, workMs}: InFlightRequest): number {
		return (this.#clock.monotonicMs() - sentAtMs) / workMs;
	}
}
