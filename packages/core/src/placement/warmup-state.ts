/** Whether an upstream may be cold: it has just started or lost what it held, and bears few requests until it is warm. */
import type {Clock} from '../model/clock.js';

export class WarmupState {
	readonly #clock: Clock;
	#coldUntilMs: number;
	#isDoubted = false;

	/** @param leftMs - how much longer it is cold, as far as is known */
	constructor(clock: Clock, leftMs = 0) {
		this.#clock = clock;
		this.#coldUntilMs = clock.monotonicMs() + leftMs;
	}

	/** It is known to be cold now. */
	get isCold(): boolean {
		return this.#clock.monotonicMs() < this.#coldUntilMs;
	}

	/** It is cold, or may have started anew unseen. */
	get mayBeCold(): boolean {
		return this.isCold || this.#isDoubted;
	}

	/** It has said itself how much longer it is cold; 0 where it is warm. */
	recordReport(leftMs: number): void {
		this.#isDoubted = false;
		this.#coldUntilMs = this.#clock.monotonicMs() + leftMs;
	}

	/** Its entry in the registry says so; that may be old, so that it never makes an upstream warm. */
	recordRegistryEntry(leftMs: number): void {
		this.#coldUntilMs = Math.max(this.#coldUntilMs, this.#clock.monotonicMs() + leftMs);
	}

	/** What it said no longer holds: it could not be reached, or nothing was sent there for long. */
	markUncertain(): void {
		this.#isDoubted = true;
	}
}
