/**
 * One instance's budget of probes to one upstream: a bucket of one token that starts empty, so that neither a
 * restart nor a pause is followed by a burst.
 */

export class ProbeBudget {
	readonly #intervalMs: number | undefined;
	#earliestMs: number;

	/**
	 * @param intervalMs least time between two probes; `undefined` allows none
	 * @param startMs when this process started, or the rule changed
	 */
	constructor(intervalMs: number | undefined, startMs: number) {
		this.#intervalMs = intervalMs;
		this.#earliestMs = intervalMs === undefined ? Number.POSITIVE_INFINITY : startMs + intervalMs;
	}

	/** When the next probe may be sent. */
	get earliestMs(): number {
		return this.#earliestMs;
	}

	/** Whether a probe may be sent now; if so, it counts as sent. */
	tryTake(nowMs: number): boolean {
		if (this.#intervalMs === undefined || nowMs < this.#earliestMs) {
			return false;
		}

		this.#earliestMs = nowMs + this.#intervalMs;
		return true;
	}
}
