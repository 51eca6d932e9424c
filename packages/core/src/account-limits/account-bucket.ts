/**
 * Token bucket of one account, kept by the instance that decides for the whole fleet or for the part of it that it reaches.
 *
 * The limit allows a burst in each window, not only after a pause. Answers the rush of an account that goes on for longer than
 * its burst lasts: once the bucket knows all that it handed out within a window, it adds what the burst allows for the window
 * evenly over it, and stops where the window is full.
 */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {Clock} from '../model/clock.js';
import {reserveOf, type AccountBound} from './account-bound.js';
import {WindowUse} from './window-use.js';

const millisecondsPerSecond = 1000;
/** Longest time for which a caller is told to wait. A caller that waits longer than that has other work to do. */
const maximumRetryMs = 2000;
/** Part of the window for which tokens beyond the rate are saved, so that callers get them evenly. */
const savedWindowRatio = 0.1;

export class AccountBucket {
	readonly #clock: Clock;
	readonly #bound: AccountBound;
	readonly #use: WindowUse;
	#limit: AccountRateLimit;
	#share = 1;
	#paceRatio = 1;
	#level: number;
	/** Tokens beyond the rate. */
	#extraLevel = 0;
	#filledAtMs: number;
	/** Time at which the callers refused so far have each got a token, if all of them return. */
	#queueEndsAtMs = 0;

	/** @param level - tokens at the start; negative if more was handed out than the rate allows */
	constructor(clock: Clock, bound: AccountBound, limit: AccountRateLimit, level: number) {
		this.#clock = clock;
		this.#bound = bound;
		this.#use = new WindowUse(clock, bound.windowMs);
		this.#limit = limit;
		this.#level = level;
		this.#filledAtMs = clock.monotonicMs();
	}

	/** Tokens at the latest use, without those that have been added since, for another instance that goes on with them. */
	get transferableWhenFilled(): number {
		return this.#level - this.#use.beyondRate;
	}

	/** Tokens with which another instance may go on; what was handed out beyond the rate is owed. */
	get transferable(): number {
		this.#fill();
		return this.transferableWhenFilled;
	}

	/** Tokens of the rate and the saved burst that can be taken now. */
	get level(): number {
		this.#fill();
		return this.#level;
	}

	/** Time until one token can be taken; 0 if there is one. */
	get tokenInMs(): number {
		this.#fill();
		if (this.#isWindowFull) {
			return this.#use.freedInMs;
		}

		const available = Math.max(this.#level, 0) + this.#extraLevel;
		return Math.max(0, (1 - available) / this.#tokensPerMs);
	}

	/**
	 * Applies the limit in force. A lower limit takes effect at once, also on tokens that were saved.
	 *
	 * @param share - part of the limit that this bucket hands out
	 * @param paceRatio - part of the rate of that share at which tokens are added
	 */
	setLimit(limit: AccountRateLimit, share: number, paceRatio: number): void {
		this.#fill();
		if (limit.requestsPerSecond !== this.#limit.requestsPerSecond || limit.burst !== this.#limit.burst || share < this.#share || paceRatio < 1) {
			this.#extraLevel = 0;
			this.#use.reset();
		}

		this.#limit = limit;
		this.#share = share;
		this.#paceRatio = paceRatio;
		this.#level = Math.min(this.#level, this.#capacity);
	}

	/** @returns the number of tokens taken, at most `count` */
	take(count: number): number {
		this.#fill();
		const room = this.#use.beyondRate > 0 ? Math.max(0, Math.floor(this.#windowCapacity - this.#use.granted)) : count;
		const allowed = Math.min(count, room);
		const ofRate = Math.min(allowed, Math.max(0, Math.floor(this.#level)));
		const windowRoom = Math.max(0, Math.floor(this.#windowCapacity - this.#use.granted - ofRate));
		const beyondRate = Math.min(allowed - ofRate, Math.floor(this.#extraLevel), windowRoom);
		this.#level -= ofRate;
		this.#extraLevel -= beyondRate;
		this.#use.record(ofRate + beyondRate, beyondRate);
		return ofRate + beyondRate;
	}

	/** Returns tokens of requests that did not run. */
	giveBack(count: number): void {
		this.#level = Math.min(this.level + count, this.#capacity);
		this.#use.record(-Math.min(count, this.#use.granted));
	}

	/** Places refused callers in the order of those refused before. @returns time after which a token is there for the last of them */
	queue(refused: number): number {
		const nowMs = this.#clock.monotonicMs();
		const startMs = Math.max(this.#queueEndsAtMs, nowMs + this.tokenInMs);
		this.#queueEndsAtMs = Math.min(startMs + (refused / this.#tokensPerMs), nowMs + maximumRetryMs);
		return this.#queueEndsAtMs - nowMs;
	}

	get #requestsPerMs(): number {
		return this.#limit.requestsPerSecond * this.#share * this.#paceRatio / millisecondsPerSecond;
	}

	/** Tokens beyond the rate; none until all that was handed out within the window is known. */
	get #extraPerMs(): number {
		return this.#use.isComplete && this.#paceRatio === 1 ? this.#limit.burst * this.#share / this.#bound.windowMs : 0;
	}

	get #tokensPerMs(): number {
		return this.#requestsPerMs + this.#extraPerMs;
	}

	/** At least one, as a request takes a whole token. */
	get #capacity(): number {
		return Math.max(1, (this.#limit.burst + reserveOf(this.#limit, this.#bound)) * this.#share);
	}

	/** Tokens that the limit allows in a window. */
	get #windowCapacity(): number {
		const {requestsPerSecond, burst} = this.#limit;
		return ((requestsPerSecond * this.#bound.windowMs / millisecondsPerSecond) + burst) * this.#share;
	}

	get #isWindowFull(): boolean {
		return this.#use.beyondRate > 0 && this.#windowCapacity - this.#use.granted < 1;
	}

	#fill(): void {
		const nowMs = this.#clock.monotonicMs();
		const elapsedMs = nowMs - this.#filledAtMs;
		const extraPerMs = this.#extraPerMs;
		this.#level = Math.min(this.#level + (elapsedMs * this.#requestsPerMs), this.#capacity);
		this.#extraLevel = Math.min(this.#extraLevel + (elapsedMs * extraPerMs), Math.max(1, extraPerMs * this.#bound.windowMs * savedWindowRatio));
		this.#filledAtMs = nowMs;
	}
}
