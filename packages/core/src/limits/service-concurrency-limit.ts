/**
 * Limits how many requests of a service one instance has in flight at all upstreams together. An upstream's own
 * queue is first come, first served, so requests wait at this instance instead, ordered by priority. A load report
 * above `congestedPerSlot` is a congestion mark: the limit falls by half the share of marked reports
 * (as in DCTCP), and rises by one if there was no mark and the limit held requests back.
 */

/** Priority of the most important request class. */
export const highestPriority = 0;
/** Requests of the highest priority may exceed the limit by this factor, so that an instance with many of them takes capacity from the others. */
const highestPriorityFactor = 4;
/** A report of more requests per slot than this is a congestion mark. */
const congestedPerSlot = 2;
const minimumLimit = 1;
const decreaseRatio = 0.5;
/** With a greater share of marks, congestion is widespread, and the decrease starts from the requests actually in flight. */
const widespreadMarkRatio = 0.5;
const minimumWindowMs = 10;
/** With fewer reports, a single straggler would look like congestion of all upstreams. */
const minimumReports = 8;
/** After this time without a report, a limit that holds requests back rises by one, as nothing supports it any more. */
const reportTimeoutMs = 1000;

export class ServiceConcurrencyLimit {
	readonly #maximum: number;
	#limit: number;
	#windowEndMs = 0;
	#reports = 0;
	#marks = 0;
	#wasLimited = false;
	#peakInFlight = 0;
	#lastReportOrRiseMs = 0;

	/** @param maximum sum of the upstreams' maximum limits */
	constructor(maximum: number) {
		this.#maximum = Math.max(minimumLimit, maximum);
		this.#limit = this.#maximum;
	}

	get value(): number {
		return this.#limit;
	}

	/** Returns whether one more request of the given priority may be started. */
	admits(inFlight: number, priority: number, nowMs: number): boolean {
		this.#peakInFlight = Math.max(this.#peakInFlight, inFlight);
		const factor = priority === highestPriority ? highestPriorityFactor : 1;
		const isAdmitted = inFlight < Math.floor(this.#limit * factor);
		this.#wasLimited ||= !isAdmitted;
		if (!isAdmitted && nowMs - this.#lastReportOrRiseMs > reportTimeoutMs) {
			this.#lastReportOrRiseMs = nowMs;
			this.#limit = Math.min(this.#maximum, this.#limit + 1);
		}

		return isAdmitted;
	}

	/**
	 * Records a load report of an upstream.
	 *
	 * @param inFlightPerSlot requests in flight per slot, as the upstream reported them
	 * @param windowMs minimum time over which reports are aggregated, about the average latency
	 */
	onReport(inFlightPerSlot: number, windowMs: number, nowMs: number): void {
		this.#reports++;
		this.#lastReportOrRiseMs = nowMs;
		this.#marks += inFlightPerSlot > congestedPerSlot ? 1 : 0;
		if (nowMs >= this.#windowEndMs && this.#reports >= minimumReports) {
			this.#endWindow();
			this.#windowEndMs = nowMs + Math.max(minimumWindowMs, windowMs);
		}
	}

	#endWindow(): void {
		const markRatio = this.#marks / this.#reports;
		const limit = markRatio > 0 ? this.#decreasedLimit(markRatio) : this.#increasedLimit();
		this.#limit = Math.min(this.#maximum, Math.max(minimumLimit, limit));
		this.#reports = 0;
		this.#marks = 0;
		this.#wasLimited = false;
		this.#peakInFlight = 0;
	}

	#increasedLimit(): number {
		return this.#wasLimited ? this.#limit + 1 : this.#limit;
	}

	#decreasedLimit(markRatio: number): number {
		const from = markRatio > widespreadMarkRatio ? Math.min(this.#limit, this.#peakInFlight) : this.#limit;
		return from * (1 - (markRatio * decreaseRatio));
	}
}
