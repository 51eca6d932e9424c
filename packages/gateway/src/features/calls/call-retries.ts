/** Takes the retries of one call from the retry budget and passes each grant to the attempt that uses it. */
import type {ServiceId} from '@cairnbank/core';
import {describeShare} from '@cairnbank/core/fleet';
import type {RetryGrant} from '@cairnbank/core/retries';
import type {CallDependencies} from './call-dependencies.js';

export type CallRetriesOptions = {
	readonly dependencies: Pick<CallDependencies, 'budget' | 'clock' | 'metrics' | 'share'>;
	readonly service: ServiceId;
	/** Receives a short text for each decision, which goes into the log. */
	readonly onDecision: (decision: string) => void;
};

export class CallRetries {
	readonly #options: CallRetriesOptions;
	/** Grant of the attempt that is being placed, if that attempt needs one. */
	#unusedGrant: {readonly grant: RetryGrant; readonly grantedAtMs: number} | undefined;

	constructor(options: CallRetriesOptions) {
		this.#options = options;
	}

	/** @returns whether the budget grants one more attempt */
	tryTake(): boolean {
		const {dependencies: {budget, clock, metrics, share}, service, onDecision} = this.#options;
		const nowMs = clock.monotonicMs();
		const grant = budget(service).tryTake(nowMs, share());
		const budgetState = `${describeShare(share())}:left=${budget(service).remaining(nowMs, share()).toFixed(1)}`;
		if (grant === undefined) {
			onDecision(`repeat-denied:budget:${budgetState}`);
			metrics.retriesDenied.inc({service});
			return false;
		}

		this.#unusedGrant = {grant, grantedAtMs: nowMs};
		onDecision(`repeat-granted:${budgetState}`);
		metrics.retries.inc({service, grant: 'budget'});
		return true;
	}

	/** Records a retry outside the budget: nothing was sent before, so the budget doesn't count this attempt as a retry. */
	recordFreeRetry(): void {
		const {dependencies: {metrics}, service, onDecision} = this.#options;
		onDecision('repeat-free:nothing-sent');
		metrics.retries.inc({service, grant: 'free'});
	}

	/** @returns the grant of the attempt that is sent now, if it needed one */
	useGrant(): RetryGrant | undefined {
		if (this.#unusedGrant === undefined) {
			return undefined;
		}

		const {dependencies: {clock, metrics}, onDecision} = this.#options;
		const {grant, grantedAtMs} = this.#unusedGrant;
		const grantAgeMs = clock.monotonicMs() - grantedAtMs;
		this.#unusedGrant = undefined;
		onDecision(`granted:${Math.round(grantAgeMs)}ms-ago`);
		metrics.retryGrantSeconds.observe(grantAgeMs / 1000);
		return grant;
	}

	/** Returns an unused grant to the budget, as its attempt is not sent. */
	returnGrant(): void {
		this.#unusedGrant?.grant.cancel();
		this.#unusedGrant = undefined;
	}
}
