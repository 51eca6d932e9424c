/** Measures the rate at which queued requests are started, to estimate how long a request at a given position will wait. */

const intervalSampleWeight = 0.1;
const minimumIntervalMs = 0.01;

export class DequeueRate {
	#intervalMs: number | undefined;
	#measuredFromMs: number | undefined;

	/** Records that a queued request was started. Only intervals during which the queue was not empty are measured. */
	onDequeued(nowMs: number, hasMoreQueued: boolean): void {
		if (this.#measuredFromMs !== undefined) {
			const sample = Math.max(minimumIntervalMs, nowMs - this.#measuredFromMs);
			const previous = this.#intervalMs ?? sample;
			this.#intervalMs = previous + ((sample - previous) * intervalSampleWeight);
		}

		this.#measuredFromMs = hasMoreQueued ? nowMs : undefined;
	}

	/** Starts measuring the interval to the next start when the queue becomes non-empty. */
	onFirstQueued(nowMs: number): void {
		this.#measuredFromMs ??= nowMs;
	}

	/** Returns the expected time until `ahead` requests have been started; 0 before the first measurement. */
	expectedWaitMs(ahead: number): number {
		return ahead * (this.#intervalMs ?? 0);
	}
}
