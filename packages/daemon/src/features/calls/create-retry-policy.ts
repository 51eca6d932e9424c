/** Creates the retry policy of a call. */
import {hedgeDelayMs, type RetryPolicy} from '@cairnbank/core/retries';
import type {Call} from './call.js';
import type {CallBudgets} from './call-budgets.js';

/**
 * Combines the rules of the service and of the request class with their budgets. A suspect on trial is not hedged, so that it runs on a
 * single upstream.
 */
export function createRetryPolicy({idempotent, deadlineAtMs, service, requestClass, trial}: Call, budgets: CallBudgets): RetryPolicy {
	const policy: RetryPolicy = {
		idempotent,
		deadlineAtMs,
		maximumAttempts: service.rules.retries.maximumAttempts,
		retryBudget: budgets.retryBudgetFor(service),
	};
	const hedging = trial === undefined ? budgets.hedgingFor(requestClass) : undefined;
	const delayMs = hedging && hedgeDelayMs(requestClass.hedging, hedging.latencies);
	return hedging === undefined || delayMs === undefined ? policy : {...policy, hedging: {delayMs, budget: hedging.budget}};
}
