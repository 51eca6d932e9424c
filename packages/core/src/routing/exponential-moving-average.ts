/** An exponentially weighted mean that takes its first sample whole. */

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
		const before = this.#value ?? sample;
		this.#value = before + ((sample - before) * this.#sampleWeight);
	}

	/** Forgets everything. */
	reset(): void {
		this.#value = undefined;
	}
}
