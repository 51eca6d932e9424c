/** The time by which a stopping instance must have answered, shared by all that take or send requests. */
export class StopDeadline {
	#answerByMs = Number.POSITIVE_INFINITY;

	/** Begins the stop. @param answerByMs - on the monotonic clock */
	begin(answerByMs: number): void {
		this.#answerByMs = Math.min(this.#answerByMs, answerByMs);
	}

	/** Returns whether what ends at this time of the monotonic clock at the latest is not cut by the stop; always true before it. */
	allows(endAtMs: number): boolean {
		return endAtMs <= this.#answerByMs;
	}
}
