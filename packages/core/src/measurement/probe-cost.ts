/** Counts what measuring has cost an upstream. */

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

	/** Slot time that those probes took, as measured, or as the rule says where no answer came. */
	get slotTimeMs(): number {
		return this.#slotTimeMs;
	}

	/** Every probe counts when it is sent, answered or not. */
	onProbeSent(costMs: number): void {
		this.#probes++;
		this.#slotTimeMs += costMs;
	}

	probesPerSecond(nowMs: number): number {
		const elapsedMs = nowMs - this.#startMs;
		return elapsedMs > 0 ? this.#probes * msPerSecond / elapsedMs : 0;
	}

	/** Share of the upstream's slot time that this instance's probes took. */
	slotTimeRatio(slots: number, nowMs: number): number {
		const elapsedMs = nowMs - this.#startMs;
		return elapsedMs > 0 ? this.#slotTimeMs / (elapsedMs * slots) : 0;
	}
}
