/**
 * How much slower than its service an upstream answers. Kept as the mean logarithm of the ratio, so that one long
 * answer among quick ones weighs little and several in a row weigh much.
 */

const sampleWeight = 0.5;
/** Mean logarithm up to which an upstream counts as usual: swings of load stay below, stragglers do not. */
const tolerance = 0.4;
const shortestLatencyMs = 0.1;

export class Slowness {
	#meanLog = 0;
	#atMs = Number.NEGATIVE_INFINITY;

	/** Takes in the time that an answer took. */
	add(latencyMs: number, serviceAverageMs: number, nowMs: number): void {
		const sample = Math.log(Math.max(shortestLatencyMs, latencyMs) / serviceAverageMs);
		this.#meanLog += (sample - this.#meanLog) * sampleWeight;
		this.#atMs = nowMs;
	}

	/**
	 * @param halfLifeMs time after which slowness without new answers counts half, so that it is tried again
	 * @returns factor on its load; 1 for what is usual
	 */
	factorAt(nowMs: number, halfLifeMs: number): number {
		if (this.#meanLog <= tolerance) {
			return 1;
		}

		const remaining = this.#meanLog * (2 ** (-(nowMs - this.#atMs) / halfLifeMs));
		return Math.exp(Math.max(0, remaining - tolerance));
	}

	/** Forgets everything. */
	reset(): void {
		this.#meanLog = 0;
	}
}
