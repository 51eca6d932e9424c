/** Token bucket of one account, kept by the instance that decides for the whole fleet or for the part of it that it reaches. */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {Clock} from '../model/clock.js';
import {reserveOf, type AccountBound} from './account-bound.js';

const millisecondsPerSecond = 1000;
/** Longest time for which a caller is told to wait. A caller that waits longer than that has other work to do. */
const maximumRetryMs = 2000;

export class AccountBucket {
	readonly #clock: Clock;
	readonly #bound: AccountBound;
	#limit: AccountRateLimit;
	#share = 1;
	#paceRatio = 1;
	#level: number;
	#filledAtMs: number;
	/** Time at which the callers refused so far have each got a token, if all of them return. */
	#queueEndsAtMs = 0;

	/** @param level - tokens at the start */
	constructor(clock: Clock, bound: AccountBound, limit: AccountRateLimit, level: number) {
		this.#clock = clock;
		this.#bound = bound;
		this.#limit = limit;
		this.#level = level;
		this.#filledAtMs = clock.monotonicMs();
	}

	/** Tokens at the latest use, without those that have been added since. */
	get levelWhenFilled(): number {
		return this.#level;
	}

	/** Tokens that can be taken now. */
	get level(): number {
		this.#fill();
		return this.#level;
	}

	/** Time until one token can be taken; 0 if there is one. */
	get tokenInMs(): number {
		return Math.max(0, (1 - this.level) / this.#requestsPerMs);
	}

	/**
	 * Applies the limit in force. A lower limit takes effect at once, also on tokens that were saved.
	 *
	 * @param share - part of the limit that this bucket hands out
	 * @param paceRatio - part of the rate of that share at which tokens are added
	 */
	setLimit(limit: AccountRateLimit, share: number, paceRatio: number): void {
		this.#fill();
		this.#limit = limit;
		this.#share = share;
		this.#paceRatio = paceRatio;
		this.#level = Math.min(this.#level, this.#capacity);
	}

	/** @returns the number of tokens taken, at most `count` */
	take(count: number): number {
		const taken = Math.min(count, Math.max(0, Math.floor(this.level)));
		this.#level -= taken;
		return taken;
	}

	/** Returns tokens of requests that did not run. */
	giveBack(count: number): void {
		this.#level = Math.min(this.level + count, this.#capacity);
	}

	/** Places refused callers in the order of those refused before. @returns time after which a token is there for the last of them */
	queue(refused: number): number {
		const nowMs = this.#clock.monotonicMs();
		const startMs = Math.max(this.#queueEndsAtMs, nowMs + this.tokenInMs);
		this.#queueEndsAtMs = Math.min(startMs + (refused / this.#requestsPerMs), nowMs + maximumRetryMs);
		return this.#queueEndsAtMs - nowMs;
	}

	get #requestsPerMs(): number {
		return this.#limit.requestsPerSecond * this.#share * this.#paceRatio / millisecondsPerSecond;
	}

	/** At least one, as a request takes a whole token. */
	get #capacity(): number {
		return Math.max(1, (this.#limit.burst + reserveOf(this.#limit, this.#bound)) * this.#share);
	}

	#fill(): void {
		const nowMs = this.#clock.monotonicMs();
		this.#level = Math.min(this.#level + ((nowMs - this.#filledAtMs) * this.#requestsPerMs), this.#capacity);
		this.#filledAtMs = nowMs;
	}
}
