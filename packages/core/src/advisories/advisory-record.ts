/** What one start of an upstream has advised, as far as an instance knows. */
import type {Clock} from '../model/clock.js';
import type {Availability} from './availability.js';
import type {UpstreamAdvisory} from './upstream-advisory.js';

/** A back-off is believed for no longer, so that a wrong value takes no upstream out of use for good. */
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

	/** Takes in what an answer advises that came a moment ago. @returns whether the upstream's availability was another one before */
	update(advisory: UpstreamAdvisory): boolean {
		const before = this.availability.type;
		switch (advisory.type) {
			case 'leaving': {
				this.#isLeaving = true;
				break;
			}

			case 'back-off': {
				const untilMs = this.#clock.monotonicMs() + Math.min(advisory.durationMs, maximumBackOffMs);
				// Each answer binds by itself: a shorter one does not end an earlier one.
				this.#backOffUntilMs = Math.max(this.#backOffUntilMs, untilMs);
				break;
			}
		}

		return this.availability.type !== before;
	}
}
