/** Rules and budgets that the retry decision needs besides the attempts of a request. */
import type {AttemptBudget} from './attempt-budget.js';

export type RetryPolicy = {
	readonly idempotent: boolean;
	/** First attempt, retries and hedges together. */
	readonly maximumAttempts: number;
	/** Monotonic time after which no attempt is started and no answer is awaited. */
	readonly deadlineAtMs: number;
	/** Budget for the retries of the service. */
	readonly retryBudget: AttemptBudget;
	/** Absent where the class has no hedging. */
	readonly hedging?: HedgingPolicy;
};

export type HedgingPolicy = {
	/** A hedge starts once the first attempt has been running for this long. */
	readonly delayMs: number;
	/** Budget for the hedges of the request class. */
	readonly budget: AttemptBudget;
};
