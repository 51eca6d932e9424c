/** Decides just before an attempt is sent whether it should be. */
import type {Placement} from '../upstreams/placer.js';
import type {AttemptKind} from './attempt.js';
import type {AttemptSummary} from './attempt-summary.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import type {CallRetries} from './call-retries.js';

export type SendCheckOptions = {
	readonly dependencies: Pick<CallDependencies, 'admission' | 'authenticator' | 'poisonGuard'>;
	readonly call: Call;
	readonly attempts: AttemptSummary;
	readonly retries: CallRetries;
	readonly onDecision: (decision: string) => void;
};

export class SendCheck {
	readonly #options: SendCheckOptions;

	constructor(options: SendCheckOptions) {
		this.#options = options;
	}

	/**
	 * Refuses a first attempt that cannot end in time, before it takes a slot from one that can. Skips a hedge while all
	 * upstreams are busy, as it would only take slots from first attempts.
	 */
	shouldSend(kind: AttemptKind, placement: Placement): boolean {
		if (!this.#isStillAuthenticated()) {
			return false;
		}

		const {dependencies: {admission}, call, attempts, retries, onDecision} = this.#options;
		switch (kind) {
			case 'first': {
				const isAdmitted = admission.admits(call, placement);
				if (!isAdmitted) {
					admission.recordRefusal(call);
					attempts.recordRefusal('too-busy');
					onDecision(`too-busy:expected=${Math.round(placement.expectedMs)}`);
				}

				return isAdmitted && this.#isAllowedAfterCrashes();
			}

			case 'hedge': {
				if (!placement.isLightlyLoaded) {
					onDecision('hedge-skipped:all-busy');
				}

				return placement.isLightlyLoaded && this.#isAllowedAfterCrashes() && retries.tryTake();
			}

			case 'repeat': {
				return this.#isAllowedAfterCrashes();
			}
		}
	}

	/** Whether the key of the caller is still valid; it may have been taken away since the request was received. */
	#isStillAuthenticated(): boolean {
		const {dependencies: {authenticator}, call, attempts, onDecision} = this.#options;
		const refusal = authenticator.recheck(call);
		if (refusal !== undefined) {
			attempts.recordAuthenticationRefusal(refusal);
			onDecision(`refused:${refusal.reason}`);
		}

		return refusal === undefined;
	}

	/** Whether the request may run in spite of upstreams that crashed under it; more may have crashed since it was received. */
	#isAllowedAfterCrashes(): boolean {
		const {dependencies: {poisonGuard}, call, attempts, onDecision} = this.#options;
		const retryAfterMs = poisonGuard.admit(call);
		if (retryAfterMs !== undefined) {
			attempts.recordSuspected(retryAfterMs);
			onDecision('refused:suspected-poison');
		}

		return retryAfterMs === undefined;
	}
}
