/** The rate at which waiting requests are started, and with it the time that a place in the queue will take. */

const intervalSampleWeight = 0.1;
const minimumIntervalMs = 0.01;

export class DequeueRate {
	#intervalMs: number | undefined;
	#lastMs: number | undefined;

	/** A waiting request was started. Only time during which others waited counts. */
	onDequeued(nowMs: number, someStillWait: boolean): void {
		if (this.#lastMs !== undefined) {
			const sample = Math.max(minimumIntervalMs, nowMs - this.#lastMs);
			const before = this.#intervalMs ?? sample;
			this.#intervalMs = before + ((sample - before) * intervalSampleWeight);
		}

		this.#lastMs = someStillWait ? nowMs : undefined;
	}

	/** The queue went from empty to not empty: the next start is measured from here. */
	onFirstQueued(nowMs: number): void {
		this.#lastMs ??= nowMs;
	}

	/** Time until `ahead` requests have been started; 0 while nothing is known. */
	expectedWaitMs(ahead: number): number {
		return ahead * (this.#intervalMs ?? 0);
	}
}
