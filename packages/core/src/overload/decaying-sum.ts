/** A sum whose parts lose weight exponentially with their age. */
import type {Clock} from '../model/clock.js';

export class DecayingSum {
	readonly #clock: Clock;
	readonly #memoryMs: number;
	#sum = 0;
	#atMs: number;

	/** @param memoryMs - time in which a part falls to 1/e of its weight */
	constructor(clock: Clock, memoryMs: number) {
		this.#clock = clock;
		this.#memoryMs = memoryMs;
		this.#atMs = clock.monotonicMs();
	}

	get value(): number {
		return this.#sum * Math.exp((this.#atMs - this.#clock.monotonicMs()) / this.#memoryMs);
	}

	add(amount: number): void {
		this.#sum = this.value + amount;
		this.#atMs = this.#clock.monotonicMs();
	}
}
