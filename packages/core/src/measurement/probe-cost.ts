/** Counts the probes that this instance has sent to an upstream, and the slot time that they took there. */

const msPerSecond = 1000;

export class ProbeCost {
	#probes = 0;
	#slotTimeMs = 0;
	readonly #startMs: number;

	constructor(startMs: number) {
		this.#startMs = startMs;
	}

	/** Probes sent since the start. */
	get probes(): number {
		return this.#probes;
	}

	/** Slot time that those probes took: as measured, or as configured in the probe rules where no answer came. */
	get slotTimeMs(): number {
		return this.#slotTimeMs;
	}

	/** Counts a probe when it is sent, whether or not it is answered. */
	onProbeSent(costMs: number): void {
		this.#probes++;
		this.#slotTimeMs += costMs;
	}

	probesPerSecond(nowMs: number): number {
		const elapsedMs = nowMs - this.#startMs;
		return elapsedMs > 0 ? this.#probes * msPerSecond / elapsedMs : 0;
	}

	/** Returns the share of the upstream's total slot time that this instance's probes took. */
	slotTimeRatio(slots: number, nowMs: number): number {
		const elapsedMs = nowMs - this.#startMs;
		return elapsedMs > 0 ? this.#slotTimeMs / (elapsedMs * slots) : 0;
	}
}
