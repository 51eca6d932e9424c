/**
 * How many requests of a service one instance keeps with all upstreams together. An upstream's queue serves first
 * come, first served, so requests wait here instead, where the important ones go first. Upstreams that report more
 * than they can run soon are taken as marks of congestion: the limit falls by half their share of the reports
 * (as in DCTCP), and rises by one where it was what held requests back.
 */

/** Requests of this priority come first. */
export const highestPriority = 0;
/** First-class requests may pass the limit by this factor: an instance with many of them takes room from others. */
const firstClassFactor = 4;
/** Reported requests per slot from which on a report is a mark. */
const congestedPerSlot = 2;
const minimumLimit = 1;
const decreaseRatio = 0.5;
/** Share of marks from which on congestion is general, and what is in flight is what has to fall. */
const generalMarkRatio = 0.5;
const minimumWindowMs = 10;
/** With fewer reports one straggler would look like congestion of all. */
const minimumReports = 8;
/** Without a report for so long, a limit that holds requests back rises by one: nothing speaks for it any more. */
const silenceMs = 1000;

export class ServiceConcurrencyLimit {
	readonly #maximum: number;
	#limit: number;
	#windowEndMs = 0;
	#reports = 0;
	#marks = 0;
	#wasLimited = false;
	#peakInFlight = 0;
	#evidenceAtMs = 0;

	/** @param maximum requests that all upstreams may hold at their greatest limits */
	constructor(maximum: number) {
		this.#maximum = Math.max(minimumLimit, maximum);
		this.#limit = this.#maximum;
	}

	get value(): number {
		return this.#limit;
	}

	/** Whether one more request of that priority may be started. */
	admits(inFlight: number, priority: number, nowMs: number): boolean {
		this.#peakInFlight = Math.max(this.#peakInFlight, inFlight);
		const factor = priority === highestPriority ? firstClassFactor : 1;
		const admitted = inFlight < Math.floor(this.#limit * factor);
		this.#wasLimited ||= !admitted;
		if (!admitted && nowMs - this.#evidenceAtMs > silenceMs) {
			this.#evidenceAtMs = nowMs;
			this.#limit = Math.min(this.#maximum, this.#limit + 1);
		}

		return admitted;
	}

	/**
	 * A report on an answer.
	 *
	 * @param inFlightPerSlot what the upstream reported
	 * @param windowMs time over which reports are put together, about the usual latency
	 */
	onReport(inFlightPerSlot: number, windowMs: number, nowMs: number): void {
		this.#reports++;
		this.#evidenceAtMs = nowMs;
		this.#marks += inFlightPerSlot > congestedPerSlot ? 1 : 0;
		if (nowMs >= this.#windowEndMs && this.#reports >= minimumReports) {
			this.#endWindow();
			this.#windowEndMs = nowMs + Math.max(minimumWindowMs, windowMs);
		}
	}

	#endWindow(): void {
		const markRatio = this.#marks / this.#reports;
		const limit = markRatio > 0 ? this.#lowered(markRatio) : this.#raised();
		this.#limit = Math.min(this.#maximum, Math.max(minimumLimit, limit));
		this.#reports = 0;
		this.#marks = 0;
		this.#wasLimited = false;
		this.#peakInFlight = 0;
	}

	#raised(): number {
		return this.#wasLimited ? this.#limit + 1 : this.#limit;
	}

	#lowered(markRatio: number): number {
		const from = markRatio > generalMarkRatio ? Math.min(this.#limit, this.#peakInFlight) : this.#limit;
		return from * (1 - (markRatio * decreaseRatio));
	}
}
