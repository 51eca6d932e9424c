/** Measures the rate of calls to this instance, so that callers can be spread evenly over the instances. */
import type {Clock} from '@cairnbank/core';
import type {CallHandler, CallStage} from '../calls/call-handler.js';

const perSecond = 1000;

export class CallRate implements CallStage {
	readonly name = 'call-rate';
	readonly #clock: Clock;
	#calls = 0;
	#sinceMs: number;
	#smoothed = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#sinceMs = clock.monotonicMs();
	}

	wrap(next: CallHandler): CallHandler {
		return async call => {
			this.#calls += 1;
			return next(call);
		};
	}

	/** Returns the calls per second since the last sample, averaged with the value returned then. */
	sample(): number {
		const nowMs = this.#clock.monotonicMs();
		const elapsedMs = Math.max(1, nowMs - this.#sinceMs);
		this.#smoothed = (this.#smoothed + (this.#calls * perSecond / elapsedMs)) / 2;
		this.#calls = 0;
		this.#sinceMs = nowMs;
		return Math.round(this.#smoothed);
	}
}
