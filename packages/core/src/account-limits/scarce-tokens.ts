/**
 * Decides which requests of an account ask for tokens while there are too few for all. Answers a rush of one account that lasts for
 * seconds: its callers return, and would take the tokens of those that can still be in time. They get theirs once the rush is over,
 * and at their last chance.
 */
import type {Clock} from '../model/clock.js';
import type {ClientAccountId} from '../model/ids.js';
import {judgeLateRequest, type LateRequestInputs} from '../overload/late-requests.js';

/** Time after a refusal for which tokens of the account count as scarce; callers that were refused return within it. */
const scarceMs = 1000;

/** A request as its caller sees it. */
export type TimedRequest = Pick<LateRequestInputs, 'askedAtMs' | 'deadlineAtMs' | 'targetLatencyMs' | 'workMs'>;

export class ScarceTokens {
	readonly #clock: Clock;
	/** Time of the latest refusal by account. */
	readonly #refusedAtMs = new Map<ClientAccountId, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	isScarce(account: ClientAccountId): boolean {
		const refusedAtMs = this.#refusedAtMs.get(account);
		return refusedAtMs !== undefined && this.#clock.monotonicMs() - refusedAtMs < scarceMs;
	}

	/** Whether a request leaves the tokens to others of its account. */
	mustYield(account: ClientAccountId, request: TimedRequest): boolean {
		if (!this.isScarce(account)) {
			return false;
		}

		switch (judgeLateRequest({
			...request, nowMs: this.#clock.monotonicMs(), expectedMs: request.workMs, isLightlyLoaded: false,
		})) {
			case 'in-time':
			case 'send': {
				return false;
			}

			case 'wait':
			case 'hopeless': {
				return true;
			}
		}
	}

	/** Records that no token was there for a request that asked for one. */
	recordRefusal(account: ClientAccountId): void {
		this.#refusedAtMs.set(account, this.#clock.monotonicMs());
	}

	retain(isLimited: (account: ClientAccountId) => boolean): void {
		for (const account of this.#refusedAtMs.keys()) {
			if (!isLimited(account)) {
				this.#refusedAtMs.delete(account);
			}
		}
	}
}
