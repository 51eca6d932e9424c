/**
 * Token bucket of one account, kept by the instance that decides for the whole fleet or for the part of it that it reaches.
 *
 * The limit allows a burst in each window, not only after a pause. Answers the rush of an account that goes on for longer than
 * its burst lasts: once the bucket knows all that it handed out within a window, it adds what the burst allows for the window
 * evenly over it. It hands out such a token only if the rate alone could go on afterwards in every window that holds it. So an
 * owner that is replaced at any time, also by one that knows nothing of it, leaves room for a successor that grants the rate.
 */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {Clock} from '../model/clock.js';
import {reserveOf, type AccountBound} from './account-bound.js';
import {WindowUse} from './window-use.js';

const millisecondsPerSecond = 1000;
/** Longest time for which a caller is told to wait. A caller that waits longer than that has other work to do. */
const maximumRetryMs = 2000;

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
	/** Time of the latest refusal. */
	#refusedAtMs = Number.NEGATIVE_INFINITY;
	/** Time at which the callers refused so far have each got a token, if all of them return. */
	#queueEndsAtMs = 0;

	/** @param level - tokens at the start */
	constructor(clock: Clock, bound: AccountBound, limit: AccountRateLimit, level: number) {
		this.#clock = clock;
		this.#bound = bound;
		this.#use = new WindowUse(clock, bound.windowMs);
		this.#limit = limit;
		this.#level = level;
		this.#filledAtMs = clock.monotonicMs();
	}

	/** Tokens at the latest use, without those that have been added since. */
	get levelWhenFilled(): number {
		return this.#level;
	}

	/** Tokens of the rate and the saved burst that can be taken now; another instance may go on with them. */
	get level(): number {
		this.#fill();
		return this.#level;
	}

	/** Time until one token can be taken; 0 if there is one. */
	get tokenInMs(): number {
		this.#fill();
		const roomInMs = this.#windowRoom < 1 ? this.#use.leftInMs(this.#windowCapacity - 1) : 0;
		const ofRateInMs = (1 - this.#level) / this.#requestsPerMs;
		const extraInMs = this.#extraPerMs > 0 && this.#roomBeyondRate >= 1 ? (1 - this.#extraLevel) / this.#extraPerMs : Number.POSITIVE_INFINITY;
		return Math.max(0, roomInMs, Math.min(ofRateInMs, extraInMs));
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
		const ofRate = Math.min(count, this.#windowRoom, Math.max(0, Math.floor(this.#level)));
		this.#level -= ofRate;
		this.#use.record(ofRate);
		const beyondRate = ofRate < count ? Math.max(0, Math.min(count - ofRate, Math.floor(this.#extraLevel), this.#roomBeyondRate)) : 0;
		this.#extraLevel -= beyondRate;
		this.#use.record(beyondRate);
		if (ofRate + beyondRate < count) {
			this.#refusedAtMs = this.#clock.monotonicMs();
		}

		return ofRate + beyondRate;
	}

	/** Returns tokens of requests that did not run. */
	giveBack(count: number): void {
		this.#level = Math.min(this.level + count, this.#capacity);
		this.#use.giveBack(count);
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

	/** An account that asks for more gets exactly what its limit allows; the reserve is for those that just reach it. */
	get #windowRoom(): number {
		const isOverLimit = this.#clock.monotonicMs() - this.#refusedAtMs < this.#bound.windowMs;
		return isOverLimit && this.#use.isComplete ? Math.max(0, Math.floor(this.#windowCapacity - this.#use.granted)) : Number.POSITIVE_INFINITY;
	}

	/** Whole tokens beyond the rate that leave room for the rate, and for the tokens that are left, in every window from now on. */
	get #roomBeyondRate(): number {
		return Math.floor(this.#use.roomFor(this.#requestsPerMs, this.#windowCapacity) - Math.max(0, this.#level));
	}

	#fill(): void {
		const nowMs = this.#clock.monotonicMs();
		const elapsedMs = nowMs - this.#filledAtMs;
		const extraPerMs = this.#extraPerMs;
		this.#level = Math.min(this.#level + (elapsedMs * this.#requestsPerMs), this.#capacity);
		this.#extraLevel = Math.min(this.#extraLevel + (elapsedMs * extraPerMs), Math.max(1, extraPerMs * this.#bound.windowMs));
		this.#filledAtMs = nowMs;
	}
}
