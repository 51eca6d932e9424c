/** Quantiles of recent latencies from a histogram of fixed size, for the delay of hedges. */

/** Buckets per doubling of the latency: adjacent bounds differ by 9 %. */
const bucketsPerDoubling = 8;

/** Lower bound of the first bucket. */
const smallestMs = 0.0625;

/** 22 doublings: up to about four minutes. */
const bucketCount = 22 * bucketsPerDoubling;

export type LatencyQuantilesSettings = {
	/** Answers per window; a quantile is computed from the last full window and the current one. */
	readonly windowLength: number;
	/** Answers needed before a quantile is available. */
	readonly minimumAnswers: number;
};

export const defaultLatencyQuantilesSettings: LatencyQuantilesSettings = {windowLength: 1024, minimumAnswers: 32};

function bucketOf(durationMs: number): number {
	const index = Math.floor(Math.log2(durationMs / smallestMs) * bucketsPerDoubling);
	return Math.max(0, Math.min(bucketCount - 1, index));
}

function upperBoundMs(bucket: number): number {
	return smallestMs * (2 ** ((bucket + 1) / bucketsPerDoubling));
}

/** Two windows of counts; the older one is discarded when the newer one is full. */
export class LatencyQuantiles {
	readonly #settings: LatencyQuantilesSettings;
	#current = new Uint32Array(bucketCount);
	#previous = new Uint32Array(bucketCount);
	#currentCount = 0;
	#previousCount = 0;
	#cachedQuantile = Number.NaN;
	#cachedMs: number | undefined;
	#answersUntilStale = 0;

	constructor(settings: LatencyQuantilesSettings = defaultLatencyQuantilesSettings) {
		this.#settings = settings;
	}

	/** Adds the latency of one complete answer. */
	record(durationMs: number): void {
		const bucket = bucketOf(durationMs);
		this.#current[bucket]! += 1;
		this.#currentCount += 1;
		this.#answersUntilStale -= 1;
		if (this.#currentCount >= this.#settings.windowLength) {
			this.#rotate();
		}
	}

	/**
	 * Returns the upper bound of the quantile's bucket, which is at most 9 % above the true value.
	 * @param quantile Between 0 and 1.
	 * @returns Milliseconds, or `undefined` while there are too few answers.
	 */
	quantileMs(quantile: number): number | undefined {
		if (quantile === this.#cachedQuantile && this.#answersUntilStale > 0) {
			return this.#cachedMs;
		}

		this.#cachedQuantile = quantile;
		this.#cachedMs = this.#compute(quantile);
		this.#answersUntilStale = this.#cachedMs === undefined ? 0 : this.#settings.minimumAnswers;
		return this.#cachedMs;
	}

	#rotate(): void {
		const cleared = this.#previous.fill(0);
		this.#previous = this.#current;
		this.#previousCount = this.#currentCount;
		this.#current = cleared;
		this.#currentCount = 0;
	}

	#compute(quantile: number): number | undefined {
		const total = this.#currentCount + this.#previousCount;
		if (total < this.#settings.minimumAnswers) {
			return undefined;
		}

		const rank = Math.max(1, Math.ceil(quantile * total));
		let cumulative = 0;
		for (let bucket = 0; bucket < bucketCount; bucket += 1) {
			cumulative += this.#current[bucket]! + this.#previous[bucket]!;
			if (cumulative >= rank) {
				return upperBoundMs(bucket);
			}
		}

		return upperBoundMs(bucketCount - 1);
	}
}
