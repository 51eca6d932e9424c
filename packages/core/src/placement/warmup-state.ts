/** Tracks whether an upstream may be cold: it has just started or lost its caches, and can take few requests until it is warm. */
import type {Clock} from '../model/clock.js';

export class WarmupState {
	readonly #clock: Clock;
	#coldUntilMs: number;
	#isUncertain = false;

	/** @param remainingMs - remaining warm-up time, as far as known */
	constructor(clock: Clock, remainingMs = 0) {
		this.#clock = clock;
		this.#coldUntilMs = clock.monotonicMs() + remainingMs;
	}

	/** Whether the upstream is known to be cold now. */
	get isCold(): boolean {
		return this.#clock.monotonicMs() < this.#coldUntilMs;
	}

	/** Whether the upstream is cold, or may have restarted unnoticed. */
	get mayBeCold(): boolean {
		return this.isCold || this.#isUncertain;
	}

	/** Takes the remaining warm-up time that the upstream itself has reported; 0 where it is warm. */
	recordReport(remainingMs: number): void {
		this.#isUncertain = false;
		this.#coldUntilMs = this.#clock.monotonicMs() + remainingMs;
	}

	/** Takes the remaining warm-up time from the registry. The entry may be outdated, so it never shortens the warm-up. */
	recordRegistryEntry(remainingMs: number): void {
		this.#coldUntilMs = Math.max(this.#coldUntilMs, this.#clock.monotonicMs() + remainingMs);
	}

	/** Marks the last report as unreliable: the upstream could not be reached, or no request was sent there for a long time. */
	markUncertain(): void {
		this.#isUncertain = true;
	}
}
