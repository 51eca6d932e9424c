/** Decides whether an attempt of a call is sent to the place that was found for it. */
import type {Placement} from '../upstreams/placement.js';
import type {AttemptKind} from './attempt.js';
import type {AttemptSummary} from './attempt-summary.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import type {CallRetries} from './call-retries.js';
import type {PlacementSearch} from './placement-search.js';

/** Retry delay for the caller of an instance that stops; the other instances take its request at once. */
export const leavingRetryAfterMs = 20;

export type AttemptGateOptions = {
	readonly dependencies: Pick<CallDependencies, 'authenticator' | 'clock' | 'metrics' | 'overload' | 'poisonGuard' | 'stop'>;
	readonly call: Call;
	readonly search: Pick<PlacementSearch, 'hasEnoughRoom'>;
	readonly attempts: AttemptSummary;
	readonly retries: CallRetries;
	/** Receives a short text for each decision, which goes into the log. */
	readonly onDecision: (decision: string) => void;
};

export class AttemptGate {
	readonly #options: AttemptGateOptions;

	constructor(options: AttemptGateOptions) {
		this.#options = options;
	}

	/**
	 * Refuses a first attempt that should not take a slot from others. Skips a hedge while all upstreams are busy, as it would only take
	 * slots from first attempts.
	 */
	shouldSend(kind: AttemptKind, placement: Placement): boolean {
		if (!this.#isStillAuthenticated()) {
			return false;
		}

		switch (kind) {
			case 'first': {
				return this.#endsBeforeStop() && this.#hasEnoughRoom(placement) && this.#isAdmitted(placement) && this.#isAllowedAfterCrashes(placement);
			}

			case 'hedge': {
				if (!placement.isLightlyLoaded) {
					this.#options.onDecision('hedge-skipped:all-busy');
				}

				return this.#mayEndBeforeStop(placement) && placement.isLightlyLoaded && this.#isAllowedAfterCrashes(placement) && this.#options.retries.tryTake();
			}

			case 'repeat': {
				return this.#endsBeforeStop() && this.#hasEnoughRoom(placement) && this.#isAllowedAfterCrashes(placement);
			}
		}
	}

	/** Records that an upstream refused an attempt or is likely to, which is a sign of an overload too. */
	recordUpstreamRefusal(workMs: number): void {
		const {dependencies: {overload}, call, attempts} = this.#options;
		attempts.recordRetryAfter(overload.recordUpstreamRefusal(call, workMs));
	}

	/** Refuses an attempt that a stop of this instance could cut, as nothing but its deadline bounds it. */
	#endsBeforeStop(): boolean {
		const {dependencies: {stop}, call, attempts, onDecision} = this.#options;
		const isAllowed = stop.allows(call.deadlineAtMs);
		if (!isAllowed) {
			attempts.recordRefusal('leaving');
			attempts.recordRetryAfter(leavingRetryAfterMs);
			onDecision('refused:leaving');
		}

		return isAllowed;
	}

	/** Returns whether a hedge is expected to end before the stop; its call ends with the stop at the latest. */
	#mayEndBeforeStop({expectedMs}: Placement): boolean {
		const {clock, stop} = this.#options.dependencies;
		return stop.allows(clock.monotonicMs() + expectedMs);
	}

	#hasEnoughRoom(placement: Placement): boolean {
		const {call, search, attempts, onDecision} = this.#options;
		const hasEnoughRoom = search.hasEnoughRoom(placement);
		if (!hasEnoughRoom) {
			this.recordUpstreamRefusal(placement.workMs);
			attempts.recordRefusal('no-known-room');
			this.#options.dependencies.metrics.overloadRefusals.inc({service: call.service, reason: 'no-known-room'});
			onDecision('refused:no-known-room');
		}

		return hasEnoughRoom;
	}

	#isAdmitted(placement: Placement): boolean {
		const {dependencies: {metrics, overload}, call, attempts, onDecision} = this.#options;
		const verdict = overload.decide(call, placement);
		if (verdict.type === 'admitted') {
			return true;
		}

		const {reason, retryAfterMs} = verdict;
		attempts.recordRefusal(reason);
		attempts.recordRetryAfter(retryAfterMs);
		metrics.overloadRefusals.inc({service: call.service, reason});
		metrics.retryAfterSeconds.observe(retryAfterMs / 1000);
		onDecision(`${reason}:expected=${Math.round(placement.expectedMs)}:return=${retryAfterMs}`);
		return false;
	}

	/** Returns whether the key of the caller is still valid; it may have been taken away since the request was received. */
	#isStillAuthenticated(): boolean {
		const {dependencies: {authenticator}, call, attempts, onDecision} = this.#options;
		const refusal = authenticator.recheck(call);
		if (refusal !== undefined) {
			attempts.recordAuthenticationRefusal(refusal);
			onDecision(`refused:${refusal.reason}`);
		}

		return refusal === undefined;
	}

	/** Returns whether the request may run there in spite of upstreams that crashed under it; more may have crashed since it was received. */
	#isAllowedAfterCrashes({upstream}: Placement): boolean {
		const {dependencies: {poisonGuard}, call, attempts, onDecision} = this.#options;
		const retryAfterMs = poisonGuard.admit(call, upstream);
		if (retryAfterMs !== undefined) {
			attempts.recordSuspected(retryAfterMs);
			onDecision('refused:suspected-poison');
		}

		return retryAfterMs === undefined;
	}
}
