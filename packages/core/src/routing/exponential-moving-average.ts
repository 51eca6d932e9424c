/** Exponentially weighted moving average, initialized with the first sample. */

export class ExponentialMovingAverage {
	#value: number | undefined;
	readonly #sampleWeight: number;

	/** @param sampleWeight weight of a new sample, in (0, 1] */
	constructor(sampleWeight: number) {
		this.#sampleWeight = sampleWeight;
	}

	get value(): number | undefined {
		return this.#value;
	}

	add(sample: number): void {
		const previous = this.#value ?? sample;
		this.#value = previous + ((sample - previous) * this.#sampleWeight);
	}

	/** Discards all samples. */
	reset(): void {
		this.#value = undefined;
	}
}
