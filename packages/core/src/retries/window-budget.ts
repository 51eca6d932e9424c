/** One instance's part of a budget of repeated attempts that the whole fleet shares in any window of time. */
import type {FleetShare} from '../fleet/fleet-share.js';
import {RequestWindows} from './request-windows.js';

export type WindowBudgetSettings = {
	/** Repeats as a share of first attempts. */
	readonly ratio: number;
	/** Repeats beyond the share, for the whole fleet in one window. */
	readonly slack: number;
	/** Length of the sliding window. */
	readonly windowMs: number;
};

/** A repeat that the budget has granted. */
export type RepeatGrant = {
	/** The attempt has ended: its request has reached the upstream by now, if it ever does. */
	readonly complete: (nowMs: number) => void;
	/** Nothing was sent to an upstream. */
	readonly cancel: () => void;
};

/** The rest covers requests that are counted here later than their callers sent them, and callers that move between instances. */
const usedShare = 0.9;

/**
 * Repeats are granted from the first attempts of the window, plus this instance's share of the slack. All instances
 * together then stay within the fleet's bound, as their shares of the slack do. A repeat counts from its grant until a window
 * after its end, as nobody knows when in between it reaches an upstream that stands still.
 */
export class WindowBudget {
	readonly #settings: () => WindowBudgetSettings;
	readonly #requests = new RequestWindows();
	#underWay = 0;
	/** In their order, of the last window. */
	readonly #endedAtMs: number[] = [];

	/** @param settings - asked for each time, as they may change while the process runs */
	constructor(settings: () => WindowBudgetSettings) {
		this.#settings = settings;
	}

	/** Notes a first attempt. */
	recordFirstAttempt(nowMs: number): void {
		this.#requests.note(nowMs, this.#settings().windowMs);
	}

	/**
	 * Takes one repeat, if there is one left.
	 *
	 * @param share - of this instance in what the fleet shares
	 */
	tryTake(nowMs: number, share: FleetShare): RepeatGrant | undefined {
		if (this.remaining(nowMs, share) < 1) {
			return undefined;
		}

		this.#underWay += 1;
		return {
			complete: endedAtMs => {
				this.#underWay -= 1;
				this.#endedAtMs.push(endedAtMs);
			},
			cancel: () => {
				this.#underWay -= 1;
			},
		};
	}

	/** Repeats left now; may be a fraction. */
	remaining(nowMs: number, share: FleetShare): number {
		const {ratio, slack, windowMs} = this.#settings();
		const ownSlack = share.type === 'held' ? slack / share.instances : 0;
		const granted = ((this.#requests.backing(nowMs, windowMs) * ratio) + ownSlack) * usedShare;
		return granted - this.#underWay - this.#endedWithin(nowMs - windowMs);
	}

	#endedWithin(afterMs: number): number {
		const kept = this.#endedAtMs.findIndex(atMs => atMs > afterMs);
		this.#endedAtMs.splice(0, kept === -1 ? this.#endedAtMs.length : kept);
		return this.#endedAtMs.length;
	}
}
