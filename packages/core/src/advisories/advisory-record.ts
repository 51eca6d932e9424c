/** Holds the advisories that an instance has received from one start of an upstream. */
import type {Clock} from '../model/clock.js';
import type {Availability} from './availability.js';
import type {UpstreamAdvisory} from './upstream-advisory.js';

/** Upper bound of a back-off, so that a wrong value can't take an upstream out of use permanently. */
export const maximumBackOffMs = 300_000;

export class AdvisoryRecord {
	readonly #clock: Clock;
	#isLeaving = false;
	#backOffUntilMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get availability(): Availability {
		if (this.#isLeaving) {
			return {type: 'leaving'};
		}

		const remainingMs = this.#backOffUntilMs - this.#clock.monotonicMs();
		return remainingMs > 0 ? {type: 'backing-off', remainingMs} : {type: 'available'};
	}

	/**
	 * Applies an advisory from an answer that has just arrived.
	 *
	 * @returns whether the type of availability has changed
	 */
	update(advisory: UpstreamAdvisory): boolean {
		const before = this.availability.type;
		switch (advisory.type) {
			case 'leaving': {
				this.#isLeaving = true;
				break;
			}

			case 'back-off': {
				const untilMs = this.#clock.monotonicMs() + Math.min(advisory.durationMs, maximumBackOffMs);
				// Every advisory holds for its own duration: a later one that ends sooner does not shorten an earlier one.
				this.#backOffUntilMs = Math.max(this.#backOffUntilMs, untilMs);
				break;
			}
		}

		return this.availability.type !== before;
	}
}
