/** One instance's part of a budget of repeated attempts that the whole fleet shares in any window of time. */
import type {FleetShare} from '../fleet/fleet-share.js';

export type WindowBudgetSettings = {
	/** Repeats as a share of first attempts. */
	readonly ratio: number;
	/** Repeats beyond the share, for the whole fleet in one window. */
	readonly slack: number;
	/** Length of the sliding window. */
	readonly windowMs: number;
};

/** Part of the granted share that is used: an instance sees a window shifted against the one that is counted. */
const usedShare = 0.85;

/**
 * Repeats are granted from the first attempts of the window that ends now, plus this instance's share of the slack.
 * All instances together then stay within the fleet's bound, as their shares of the slack do.
 */
export class WindowBudget {
	readonly #settings: () => WindowBudgetSettings;
	readonly #firstAtMs: number[] = [];
	readonly #repeatAtMs: number[] = [];

	/** @param settings - asked for each time, as they may change while the process runs */
	constructor(settings: () => WindowBudgetSettings) {
		this.#settings = settings;
	}

	/** Notes a first attempt. */
	first(nowMs: number): void {
		this.#firstAtMs.push(nowMs);
		this.#forget(nowMs);
	}

	/**
	 * Takes one repeat, if there is one left.
	 *
	 * @param share - of this instance in what the fleet shares
	 */
	tryTake(nowMs: number, share: FleetShare): boolean {
		if (this.left(nowMs, share) < 1) {
			return false;
		}

		this.#repeatAtMs.push(nowMs);
		return true;
	}

	/** Repeats left in the window that ends now; may be a fraction. */
	left(nowMs: number, share: FleetShare): number {
		this.#forget(nowMs);
		const {ratio, slack} = this.#settings();
		const ownSlack = share.type === 'held' ? slack / share.instances : 0;
		const granted = ((this.#firstAtMs.length * ratio) + ownSlack) * usedShare;
		return granted - this.#repeatAtMs.length;
	}

	#forget(nowMs: number): void {
		const oldestMs = nowMs - this.#settings().windowMs;
		for (const times of [this.#firstAtMs, this.#repeatAtMs]) {
			const kept = times.findIndex(atMs => atMs > oldestMs);
			times.splice(0, kept === -1 ? times.length : kept);
		}
	}
}
