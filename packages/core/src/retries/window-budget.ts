/** One instance's part of the budget of retries (all attempts after the first) that the whole fleet shares in any time window. */
import type {FleetShare} from '../fleet/fleet-share.js';
import {RequestWindows} from './request-windows.js';

export type WindowBudgetSettings = {
	/** Retries as a share of first attempts. */
	readonly ratio: number;
	/** Retries beyond the share, for the whole fleet in one window. */
	readonly slack: number;
	/** Length of the sliding window. */
	readonly windowMs: number;
};

/** Permission for one retry, granted by the budget. */
export type RetryGrant = {
	/** Records that the attempt has ended: by now the request has reached the upstream if it ever does. */
	readonly complete: (nowMs: number) => void;
	/** Returns the retry to the budget, because nothing was sent to an upstream. */
	readonly cancel: () => void;
};

/**
 * Share of the budget that is granted. The rest covers requests that are counted here later than their callers sent them, and callers
 * that move between instances.
 */
const grantedShare = 0.9;

/**
 * Grants retries in proportion to the first attempts in the window, plus this instance's share of the slack. As the shares of all
 * instances add up to at most the slack, the fleet as a whole stays within its bound. A retry counts from its grant until one window
 * after its end, because an upstream that stalls may receive it at any time in between.
 */
export class WindowBudget {
	readonly #settings: () => WindowBudgetSettings;
	readonly #requests = new RequestWindows();
	#inFlight = 0;
	/** End times of the retries in the last window, in ascending order. */
	readonly #endedAtMs: number[] = [];

	/** @param settings - called on each use, as the settings may change while the process runs */
	constructor(settings: () => WindowBudgetSettings) {
		this.#settings = settings;
	}

	/** Records a first attempt. */
	recordFirstAttempt(nowMs: number): void {
		this.#requests.record(nowMs, this.#settings().windowMs);
	}

	/**
	 * Takes one retry from the budget, if one is left.
	 *
	 * @param share - share of this instance in the fleet's budget
	 */
	tryTake(nowMs: number, share: FleetShare): RetryGrant | undefined {
		if (this.remaining(nowMs, share) < 1) {
			return undefined;
		}

		this.#inFlight += 1;
		return {
			complete: endedAtMs => {
				this.#inFlight -= 1;
				this.#endedAtMs.push(endedAtMs);
			},
			cancel: () => {
				this.#inFlight -= 1;
			},
		};
	}

	/** Returns the number of retries left now, which may be a fraction. */
	remaining(nowMs: number, share: FleetShare): number {
		const {ratio, slack, windowMs} = this.#settings();
		const ownSlack = share.type === 'held' ? slack / share.instances : 0;
		const granted = ((this.#requests.guaranteedCount(nowMs, windowMs) * ratio) + ownSlack) * grantedShare;
		return granted - this.#inFlight - this.#countEndedAfter(nowMs - windowMs);
	}

	#countEndedAfter(afterMs: number): number {
		const firstKept = this.#endedAtMs.findIndex(atMs => atMs > afterMs);
		this.#endedAtMs.splice(0, firstKept === -1 ? this.#endedAtMs.length : firstKept);
		return this.#endedAtMs.length;
	}
}
