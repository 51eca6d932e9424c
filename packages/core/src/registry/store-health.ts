/** Whether a removal that the store shows now can be taken at its word. */
import type {Clock} from '../model/clock.js';
import {lapseGraceMs, type RemovalConfidence} from './upstream-registry.js';

/** Remembers outages of the store as this instance saw them. */
export class StoreHealth {
	readonly #clock: Clock;
	#isDown = false;
	#returnedAtMs: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get isDown(): boolean {
		return this.#isDown;
	}

	/** A call failed. @returns whether this is a change */
	recordFailure(): boolean {
		const isChange = !this.#isDown;
		this.#isDown = true;
		return isChange;
	}

	/** A call succeeded. @returns whether this is a change */
	recordSuccess(): boolean {
		if (!this.#isDown) {
			return false;
		}

		this.#isDown = false;
		this.#returnedAtMs = this.#clock.monotonicMs();
		return true;
	}

	/** The store has come back from an older copy: entries that it has lost are written again. */
	recordRestore(): void {
		this.#returnedAtMs = this.#clock.monotonicMs();
	}

	currentConfidence(): RemovalConfidence {
		const nowMs = this.#clock.monotonicMs();
		if (this.#isDown) {
			return {type: 'after-outage', returnedAtMs: nowMs};
		}

		const returnedAtMs = this.#returnedAtMs;
		return returnedAtMs !== undefined && nowMs - returnedAtMs < lapseGraceMs
			? {type: 'after-outage', returnedAtMs}
			: {type: 'sound'};
	}
}
