/**
 * Judges whether an account has asked for more than its limit allows. Counts from the time at which this instance began to decide, with a
 * whole burst saved: an instance that doesn't know what was used before must not tell an account that it is over its limit.
 */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {Clock} from '../model/clock.js';

const millisecondsPerSecond = 1000;

export class AccountDemand {
	readonly #clock: Clock;
	#limit: AccountRateLimit;
	/** Requests that the account may still ask for now; below 0 once it has asked for more. */
	#left: number;
	#countedAtMs: number;

	constructor(clock: Clock, limit: AccountRateLimit) {
		this.#clock = clock;
		this.#limit = limit;
		this.#left = limit.burst;
		this.#countedAtMs = clock.monotonicMs();
	}

	setLimit(limit: AccountRateLimit): void {
		this.#refill();
		this.#limit = limit;
		this.#left = Math.min(this.#left, limit.burst);
	}

	/** Records requests that the account has asked for. @returns true if they are more than its limit allows */
	record(requests: number): boolean {
		this.#refill();
		this.#left = Math.max(-1, this.#left - requests);
		return this.#left < 0;
	}

	#refill(): void {
		const nowMs = this.#clock.monotonicMs();
		const added = (nowMs - this.#countedAtMs) * this.#limit.requestsPerSecond / millisecondsPerSecond;
		this.#left = Math.min(this.#limit.burst, this.#left + added);
		this.#countedAtMs = nowMs;
	}
}
