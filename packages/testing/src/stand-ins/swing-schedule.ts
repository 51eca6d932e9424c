/** A neighbour's load over time: spells of seeded length in which work takes longer or not. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {Swing} from './upstream-faults.js';

/** Asked with times that never fall. */
export class SwingSchedule {
	readonly #swing: Swing;
	readonly #random: RandomSource;
	#spellEndMs: number;
	#factor = 1;

	constructor(swing: Swing, startMs: number) {
		this.#swing = swing;
		this.#random = createRandomSource(swing.seed);
		this.#spellEndMs = startMs;
	}

	/** Factor on the duration of work that begins at `nowMs`. */
	factorAt(nowMs: number): number {
		const {minimumMs, maximumMs, hotRatio, hotFactor} = this.#swing;
		while (this.#spellEndMs <= nowMs) {
			this.#spellEndMs += Math.max(1, minimumMs + (this.#random.next() * (maximumMs - minimumMs)));
			this.#factor = this.#random.next() < hotRatio ? hotFactor : 1;
		}

		return this.#factor;
	}
}
