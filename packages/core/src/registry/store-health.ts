/** Tracks whether removals that the store reports are reliable. */
import type {Clock} from '../model/clock.js';
import {lapseGraceMs, type RemovalConfidence} from './upstream-registry.js';

/** Tracks outages of the store as this instance observes them. */
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

	/** Records a failed call. @returns whether the store was up before */
	recordFailure(): boolean {
		const isChange = !this.#isDown;
		this.#isDown = true;
		return isChange;
	}

	/** Records a successful call. @returns whether the store was down before */
	recordSuccess(): boolean {
		if (!this.#isDown) {
			return false;
		}

		this.#isDown = false;
		this.#returnedAtMs = this.#clock.monotonicMs();
		return true;
	}

	/** Records that the store was restored from an older copy: entries that it lost are written again soon. */
	recordRestore(): void {
		this.#returnedAtMs = this.#clock.monotonicMs();
	}

	/** Confidence in removals that the store reports now. */
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
