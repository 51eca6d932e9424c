/**
 * One instance's budget of probes to one upstream: a token bucket with a capacity of one that starts empty, so that neither a restart
 * nor a pause causes a burst.
 */

export class ProbeBudget {
	readonly #intervalMs: number | undefined;
	#earliestMs: number;

	/**
	 * @param intervalMs minimum time between two probes; `undefined` allows none
	 * @param startMs time at which this process started or the probe rules changed
	 */
	constructor(intervalMs: number | undefined, startMs: number) {
		this.#intervalMs = intervalMs;
		this.#earliestMs = intervalMs === undefined ? Number.POSITIVE_INFINITY : startMs + intervalMs;
	}

	/** Earliest time at which the next probe may be sent. */
	get earliestMs(): number {
		return this.#earliestMs;
	}

	/** Returns whether a probe may be sent now, and if so counts it as sent. */
	tryTake(nowMs: number): boolean {
		if (this.#intervalMs === undefined || nowMs < this.#earliestMs) {
			return false;
		}

		this.#earliestMs = nowMs + this.#intervalMs;
		return true;
	}
}
