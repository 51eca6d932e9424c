/** A clock that stands still until it is told to move, for specs and replays. */
import type {Clock} from './clock.js';

/** Clock under the control of its holder. */
export class ManualClock implements Clock {
	#elapsedMs = 0;
	readonly #startMs: number;

	constructor(start: Date = new Date('2026-01-01T00:00:00Z')) {
		this.#startMs = start.getTime();
	}

	now(): Date {
		return new Date(this.#startMs + this.#elapsedMs);
	}

	monotonicMs(): number {
		return this.#elapsedMs;
	}

	/** Moves time forward by `durationMs`. */
	advance(durationMs: number): void {
		this.#elapsedMs += durationMs;
	}
}
