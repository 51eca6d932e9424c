/** A clock for tests and replays that only advances on request. */
import type {Clock} from './clock.js';

/** A clock whose time is set by calls of `advance`. */
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

	/** Advances the time by `durationMs`. */
	advance(durationMs: number): void {
		this.#elapsedMs += durationMs;
	}
}
