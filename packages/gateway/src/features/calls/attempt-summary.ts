/** Collects the results of a call's attempts and derives the outcome that its caller gets if no further attempt follows. */
import type {UpstreamId} from '@cairnbank/core';
import {wasNeverSent, type ExchangeVerdict} from './judge-exchange.js';
import type {
	NotRunReason, NoUpstream, Outcome, UnknownReason,
} from './outcome.js';

/** Default retry delay for the caller of a request that has not run: by then some upstream usually has a free slot. */
const defaultRetryAfterMs = 60;
/** Attempts that may fail to reach the same upstream; each may go through another instance. */
const maximumNotReached = 2;

export class AttemptSummary {
	readonly #tried = new Set<UpstreamId>();
	/** Attempts that did not reach their upstream, by upstream. */
	readonly #notReached = new Map<UpstreamId, number>();
	#sent = 0;
	#mayHaveRun: UnknownReason | undefined;
	#notRunReason: NotRunReason = 'never-sent';
	#retryAfterMs = defaultRetryAfterMs;
	#upstreamFailure: Outcome | undefined;
	#authenticationRefusal: Outcome | undefined;

	/** Upstreams that got an attempt already, and get no further one. */
	get tried(): ReadonlySet<UpstreamId> {
		return this.#tried;
	}

	/** Upstreams that an attempt did not reach; another instance may pass on a further one. */
	get notReached(): ReadonlySet<UpstreamId> {
		return new Set([...this.#notReached].filter(([, attempts]) => attempts < maximumNotReached).map(([id]) => id));
	}

	/** Number of attempts that reached an upstream or may have reached it. */
	get sent(): number {
		return this.#sent;
	}

	recordSent(upstream: UpstreamId): void {
		this.#tried.add(upstream);
		this.#sent += 1;
	}

	/** Records why no attempt is made; ignored once an attempt counts as sent. */
	recordRefusal(reason: NotRunReason): void {
		this.#notRunReason = this.#sent > 0 ? this.#notRunReason : reason;
	}

	/** Records when the caller should return if the request ends as not run. */
	recordRetryAfter(retryAfterMs: number): void {
		this.#retryAfterMs = retryAfterMs;
	}

	/** Records that no upstream takes an attempt now. */
	recordNoUpstream({reason, availableInMs}: NoUpstream): void {
		this.recordRefusal(reason);
		this.#retryAfterMs = availableInMs ?? this.#retryAfterMs;
	}

	/** Records that the request is refused because upstreams crashed under it. */
	recordSuspected(retryAfterMs: number): void {
		this.recordRefusal('suspected-poison');
		this.#retryAfterMs = retryAfterMs;
	}

	/** Records that the caller's credentials have become invalid; ignored once an attempt counts as sent. */
	recordAuthenticationRefusal(refusal: Outcome): void {
		this.#authenticationRefusal = this.#sent > 0 ? undefined : refusal;
	}

	/** Records an attempt that ended without a success. */
	recordFailure(upstream: UpstreamId, verdict: Exclude<ExchangeVerdict, {readonly type: 'success'}>): void {
		switch (verdict.type) {
			case 'upstream-failure': {
				this.#upstreamFailure = {type: 'answered', answer: verdict.answer};
				break;
			}

			case 'unknown': {
				this.#mayHaveRun = verdict.reason;
				break;
			}

			case 'not-run': {
				this.#notRunReason = verdict.reason;
				if (wasNeverSent(verdict)) {
					// Nothing reached an upstream, so it counts neither as an attempt nor as a retry.
					this.#sent -= 1;
					this.#notReached.set(upstream, (this.#notReached.get(upstream) ?? 0) + 1);
				}

				break;
			}

			case 'cancelled': {
				// The call itself ends with the attempts that it cancels, so this one was cancelled otherwise.
				this.#mayHaveRun = 'broken';
				break;
			}
		}
	}

	/** Prefers an upstream's own failure answer to "may have run", and "may have run" to "has not run". */
	outcome(): Outcome {
		if (this.#upstreamFailure !== undefined) {
			return this.#upstreamFailure;
		}

		if (this.#mayHaveRun === undefined) {
			return this.#notRunOutcome();
		}

		// An attempt may take all the time that is left, so its timeout means that the call has timed out.
		return this.#mayHaveRun === 'timed-out' ? {type: 'timed-out'} : {type: 'unknown', reason: this.#mayHaveRun};
	}

	/**
	 * Returns the outcome of a call whose time is over.
	 *
	 * @param mayStillRun - whether an unfinished attempt may have reached its upstream
	 */
	outcomeAtDeadline(mayStillRun: boolean): Outcome {
		return mayStillRun ? {type: 'timed-out'} : this.outcome();
	}

	#notRunOutcome(): Outcome {
		return this.#authenticationRefusal ?? {type: 'not-run', reason: this.#notRunReason, retryAfterMs: this.#retryAfterMs};
	}
}
