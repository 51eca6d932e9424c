/**
 * Adapts how many requests this instance may have in flight at one upstream, based on the upstream's shed responses
 * and its latency. Many instances share an upstream, so even one request from each can be too many: shed
 * responses therefore also pause the upstream, for longer with each consecutive one.
 */

const shedDecreaseFactor = 0.7;
const latencyDecreaseFactor = 0.9;
const minimumLimit = 1;
const maximumDoublings = 6;
const slotsHeadroomFactor = 2;

export class AdaptiveLimit {
	#limit: number;
	#maximum: number;
	#slots: number;
	#consecutiveSheds = 0;
	#pausedUntilMs = 0;

	/**
	 * @param slots number of requests that the upstream runs concurrently
	 * @param connectionShare number of connections that this instance may hold
	 */
	constructor(slots: number, connectionShare: number) {
		this.#slots = slots;
		this.#maximum = maximumFor(slots, connectionShare);
		this.#limit = this.#maximum;
	}

	get value(): number {
		return this.#limit;
	}

	/** Upper bound of `value`. */
	get maximum(): number {
		return this.#maximum;
	}

	get pausedUntilMs(): number {
		return this.#pausedUntilMs;
	}

	/** Returns whether one more request may be sent now. */
	admits(inFlight: number, nowMs: number): boolean {
		return nowMs >= this.#pausedUntilMs && inFlight < Math.floor(this.#limit);
	}

	/** Applies new capacity figures from the inventory. */
	resize(slots: number, connectionShare: number): void {
		this.#slots = slots;
		this.#maximum = maximumFor(slots, connectionShare);
		this.#limit = Math.min(this.#limit, this.#maximum);
	}

	/**
	 * Adjusts the limit after a complete answer.
	 *
	 * @param inFlight requests still in flight at the upstream; slowness lowers the limit only if they and the answered one exceeded its slots
	 * @param isSlow whether its answers have been slow for a while; a single slow answer does not indicate overload
	 */
	onAnswer(inFlight: number, isSlow: boolean): void {
		this.#consecutiveSheds = 0;
		const exceededSlots = inFlight + 1 > this.#slots;
		if (isSlow && exceededSlots) {
			this.#limit = Math.max(minimumLimit, this.#limit * latencyDecreaseFactor);
			return;
		}

		const wasAtLimit = inFlight + 1 >= Math.floor(this.#limit);
		if (wasAtLimit && !isSlow) {
			this.#limit = Math.min(this.#maximum, this.#limit + (1 / this.#limit));
		}
	}

	/** Lowers the limit after a shed response. The pause starts at half the average latency and doubles with each consecutive one. */
	onShed(nowMs: number, averageLatencyMs: number): void {
		this.#limit = Math.max(minimumLimit, this.#limit * shedDecreaseFactor);
		const doublings = Math.min(this.#consecutiveSheds, maximumDoublings);
		this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + (averageLatencyMs / 2 * (2 ** doublings)));
		this.#consecutiveSheds++;
	}
}

function maximumFor(slots: number, connectionShare: number): number {
	return Math.max(minimumLimit, Math.min(slots * slotsHeadroomFactor, connectionShare));
}
