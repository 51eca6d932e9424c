/**
 * Measures how much slower an upstream answers than its service on average. Stores the moving average of the logarithm of
 * the latency ratio, so that a single slow answer has little effect and several consecutive ones have a large one.
 */

const sampleWeight = 0.5;
/** Up to this mean logarithm an upstream does not count as slow. Load fluctuations stay below it, stragglers do not. */
const toleratedMeanLog = 0.4;
const minimumLatencyMs = 0.1;

export class Slowness {
	#meanLog = 0;
	#lastSampleAtMs = Number.NEGATIVE_INFINITY;

	/** Records the latency of an answer. */
	add(latencyMs: number, serviceAverageMs: number, nowMs: number): void {
		const sample = Math.log(Math.max(minimumLatencyMs, latencyMs) / serviceAverageMs);
		this.#meanLog += (sample - this.#meanLog) * sampleWeight;
		this.#lastSampleAtMs = nowMs;
	}

	/**
	 * @param halfLifeMs time after which the slowness counts half if there are no new answers, so that the upstream is tried again
	 * @returns factor by which to multiply the upstream's load; 1 if it is not slow
	 */
	factorAt(nowMs: number, halfLifeMs: number): number {
		if (this.#meanLog <= toleratedMeanLog) {
			return 1;
		}

		const remaining = this.#meanLog * (2 ** (-(nowMs - this.#lastSampleAtMs) / halfLifeMs));
		return Math.exp(Math.max(0, remaining - toleratedMeanLog));
	}

	/** Discards all samples. */
	reset(): void {
		this.#meanLog = 0;
	}
}
