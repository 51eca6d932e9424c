/** Counts the tokens that a bucket has handed out within the window of the bound, and how many of them came beyond its rate. */
import type {Clock} from '../model/clock.js';

/** Parts into which the window is divided; a part counts until all of it has left the window. */
const partsPerWindow = 50;

type Part = {readonly startedAtMs: number; granted: number; beyondRate: number};

export class WindowUse {
	readonly #clock: Clock;
	readonly #windowMs: number;
	/** Oldest first. */
	#parts: Part[] = [];
	#startedAtMs: number;

	constructor(clock: Clock, windowMs: number) {
		this.#clock = clock;
		this.#windowMs = windowMs;
		this.#startedAtMs = clock.monotonicMs();
	}

	/** Whether all that was handed out within the window is counted. */
	get isComplete(): boolean {
		return this.#clock.monotonicMs() - this.#startedAtMs >= this.#windowMs;
	}

	get granted(): number {
		return this.#recent().reduce((sum, part) => sum + part.granted, 0);
	}

	get beyondRate(): number {
		return this.#recent().reduce((sum, part) => sum + part.beyondRate, 0);
	}

	/** Time until the oldest tokens leave the window; 0 if there are none. */
	get freedInMs(): number {
		const [oldest] = this.#recent();
		return oldest === undefined ? 0 : Math.max(0, oldest.startedAtMs + this.#partMs + this.#windowMs - this.#clock.monotonicMs());
	}

	/** Records tokens that were handed out; a negative number if some were returned. */
	record(granted: number, beyondRate = 0): void {
		const nowMs = this.#clock.monotonicMs();
		const newest = this.#recent().at(-1);
		if (newest !== undefined && nowMs - newest.startedAtMs < this.#partMs) {
			newest.granted += granted;
			newest.beyondRate += beyondRate;
		} else if (granted !== 0) {
			this.#parts.push({startedAtMs: nowMs, granted, beyondRate});
		}
	}

	/** Starts to count anew. */
	reset(): void {
		this.#parts = [];
		this.#startedAtMs = this.#clock.monotonicMs();
	}

	get #partMs(): number {
		return this.#windowMs / partsPerWindow;
	}

	#recent(): readonly Part[] {
		const oldestMs = this.#clock.monotonicMs() - this.#windowMs - this.#partMs;
		const firstKept = this.#parts.findIndex(({startedAtMs}) => startedAtMs > oldestMs);
		this.#parts = firstKept === -1 ? [] : this.#parts.slice(firstKept);
		return this.#parts;
	}
}
