/**
 * The number of own requests that an upstream may hold, found from its refusals and its latency. As many
 * instances share an upstream, one request each may already be too much: repeated refusals therefore close the
 * upstream for a while too, longer each time.
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
	#closedUntilMs = 0;

	/**
	 * @param slots requests that the upstream runs at once
	 * @param connectionShare connections that this instance may hold
	 */
	constructor(slots: number, connectionShare: number) {
		this.#slots = slots;
		this.#maximum = maximumOf(slots, connectionShare);
		this.#limit = this.#maximum;
	}

	get value(): number {
		return this.#limit;
	}

	/** The greatest value that it may take. */
	get maximum(): number {
		return this.#maximum;
	}

	get pausedUntilMs(): number {
		return this.#closedUntilMs;
	}

	/** Whether one more request may be sent. */
	admits(inFlight: number, nowMs: number): boolean {
		return nowMs >= this.#closedUntilMs && inFlight < Math.floor(this.#limit);
	}

	/** The inventory gave the upstream other numbers. */
	resize(slots: number, connectionShare: number): void {
		this.#slots = slots;
		this.#maximum = maximumOf(slots, connectionShare);
		this.#limit = Math.min(this.#limit, this.#maximum);
	}

	/**
	 * A whole answer.
	 *
	 * @param inFlight what remains with the upstream; only more than it can run lowers the limit
	 * @param isSlow whether its answers have been slow for a while; single slow ones are no sign of overload
	 */
	onAnswer(inFlight: number, isSlow: boolean): void {
		this.#consecutiveSheds = 0;
		const heldMoreThanRuns = inFlight + 1 > this.#slots;
		if (isSlow && heldMoreThanRuns) {
			this.#limit = Math.max(minimumLimit, this.#limit * latencyDecreaseFactor);
			return;
		}

		const wasFull = inFlight + 1 >= Math.floor(this.#limit);
		if (wasFull && !isSlow) {
			this.#limit = Math.min(this.#maximum, this.#limit + (1 / this.#limit));
		}
	}

	/** A refusal. The closed time starts at a part of the usual latency and doubles. */
	onShed(nowMs: number, averageLatencyMs: number): void {
		this.#limit = Math.max(minimumLimit, this.#limit * shedDecreaseFactor);
		const doublings = Math.min(this.#consecutiveSheds, maximumDoublings);
		this.#closedUntilMs = Math.max(this.#closedUntilMs, nowMs + (averageLatencyMs / 2 * (2 ** doublings)));
		this.#consecutiveSheds++;
	}
}

function maximumOf(slots: number, connectionShare: number): number {
	return Math.max(minimumLimit, Math.min(slots * slotsHeadroomFactor, connectionShare));
}
