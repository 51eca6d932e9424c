/** Repeats of one call: takes them from the budget, and hands the grant on to the attempt that uses it. */
import type {ServiceId} from '@cairnbank/core';
import {describeShare} from '@cairnbank/core/fleet';
import type {RepeatGrant} from '@cairnbank/core/retries';
import type {CallDependencies} from './call-dependencies.js';

export type CallRepeatsOptions = {
	readonly dependencies: Pick<CallDependencies, 'budget' | 'clock' | 'metrics' | 'share'>;
	readonly service: ServiceId;
	/** Takes a short note on each decision, for the log. */
	readonly note: (decision: string) => void;
};

export class CallRepeats {
	readonly #options: CallRepeatsOptions;
	/** Of the attempt that is being placed, if it needs one. */
	#waiting: {readonly grant: RepeatGrant; readonly atMs: number} | undefined;

	constructor(options: CallRepeatsOptions) {
		this.#options = options;
	}

	/** @returns whether the budget grants one more attempt */
	take(): boolean {
		const {dependencies: {budget, clock, metrics, share}, service, note} = this.#options;
		const nowMs = clock.monotonicMs();
		const grant = budget(service).tryTake(nowMs, share());
		const state = `${describeShare(share())}:left=${budget(service).remaining(nowMs, share()).toFixed(1)}`;
		if (grant === undefined) {
			note(`repeat-denied:budget:${state}`);
			metrics.repeatsDenied.inc({service});
			return false;
		}

		this.#waiting = {grant, atMs: nowMs};
		note(`repeat-granted:${state}`);
		metrics.repeats.inc({service, grant: 'budget'});
		return true;
	}

	/** Nothing was sent before, so that a further attempt is none to the budget. */
	takeFree(): void {
		const {dependencies: {metrics}, service, note} = this.#options;
		note('repeat-free:nothing-sent');
		metrics.repeats.inc({service, grant: 'free'});
	}

	/** @returns the grant of the attempt that is sent now, if it needed one */
	use(): RepeatGrant | undefined {
		if (this.#waiting === undefined) {
			return undefined;
		}

		const {dependencies: {clock, metrics}, note} = this.#options;
		const {grant, atMs} = this.#waiting;
		const ageMs = clock.monotonicMs() - atMs;
		this.#waiting = undefined;
		note(`granted:${Math.round(ageMs)}ms-ago`);
		metrics.repeatGrantSeconds.observe(ageMs / 1000);
		return grant;
	}

	/** The attempt is not sent. */
	giveBack(): void {
		this.#waiting?.grant.cancel();
		this.#waiting = undefined;
	}
}
