/** What the retry decision needs to know about a request, beside its attempts. */
import type {AttemptBudget} from './attempt-budget.js';

export type RetryPolicy = {
	readonly idempotent: boolean;
	/** First attempt, retries and hedges together. */
	readonly maximumAttempts: number;
	/** Monotonic time after which no work is started and no answer is awaited. */
	readonly deadlineAtMs: number;
	/** Budget of the service's retries. */
	readonly retryBudget: AttemptBudget;
	/** Absent where the class has no hedging. */
	readonly hedging?: HedgingPolicy;
};

export type HedgingPolicy = {
	/** A hedge starts once the first attempt has run for so long. */
	readonly delayMs: number;
	/** Budget of the class's hedges. */
	readonly budget: AttemptBudget;
};
