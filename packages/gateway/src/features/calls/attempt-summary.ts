/** What the attempts of one call have shown so far, and what its caller is told if no further one comes. */
import type {UpstreamId} from '@cairnbank/core';
import type {Verdict} from './judge-exchange.js';
import type {
	NotRunReason, NoUpstream, Outcome, UnknownReason,
} from './outcome.js';

/** When a caller of a request that has not run may come again, unless more is known: some upstream has a free slot by then. */
const usualRetryAfterMs = 60;

export class AttemptSummary {
	readonly #tried = new Set<UpstreamId>();
	#sent = 0;
	#mayHaveRun: UnknownReason | undefined;
	#notRun: NotRunReason = 'never-sent';
	#retryAfterMs = usualRetryAfterMs;
	#upstreamFailure: Outcome | undefined;

	/** Upstreams that no further attempt goes to. */
	get tried(): ReadonlySet<UpstreamId> {
		return this.#tried;
	}

	/** Attempts that reached an upstream, or may have. */
	get sent(): number {
		return this.#sent;
	}

	sentTo(upstream: UpstreamId): void {
		this.#tried.add(upstream);
		this.#sent += 1;
	}

	/** There is a reason why no first attempt was made. */
	refused(reason: NotRunReason): void {
		this.#notRun = this.#sent > 0 ? this.#notRun : reason;
	}

	/** No upstream takes an attempt now. */
	noneAvailable({reason, availableInMs}: NoUpstream): void {
		this.refused(reason);
		this.#retryAfterMs = availableInMs ?? usualRetryAfterMs;
	}

	/** An attempt has ended without a success. */
	ended(verdict: Exclude<Verdict, {readonly type: 'success'}>): void {
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
				this.#notRun = verdict.reason;
				if (verdict.reason === 'not-connected') {
					// Nothing has reached an upstream, so it counts neither as an attempt nor as a repeat.
					this.#sent -= 1;
				}

				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}

	/** An upstream's own failure goes before "may have run", and that before "has not run". */
	outcome(): Outcome {
		if (this.#upstreamFailure !== undefined) {
			return this.#upstreamFailure;
		}

		if (this.#mayHaveRun === undefined) {
			return this.#notRunOutcome();
		}

		// An attempt gets all the time that is left: where it is over, the call's is.
		return this.#mayHaveRun === 'timed-out' ? {type: 'timed-out'} : {type: 'unknown', reason: this.#mayHaveRun};
	}

	/**
	 * The time is over.
	 *
	 * @param mayStillRun - whether an attempt that has not ended may have reached its upstream
	 */
	outcomeAtDeadline(mayStillRun: boolean): Outcome {
		return mayStillRun ? {type: 'timed-out'} : this.outcome();
	}

	#notRunOutcome(): Outcome {
		return {type: 'not-run', reason: this.#notRun, retryAfterMs: this.#retryAfterMs};
	}
}
