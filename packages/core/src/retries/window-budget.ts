/** One instance's part of a budget of repeated attempts that the whole fleet shares in any window of time. */

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
 * Repeats are granted from the first attempts of the window that ends now, plus this instance's part of the slack.
 * Each sum over instances then stays within the fleet's bound, whatever window is counted, as long as the number of
 * instances that divides the slack is not below the real one; also while instances are killed and start anew.
 */
export class WindowBudget {
	readonly #settings: () => WindowBudgetSettings;
	readonly #slackFromMs: () => number;
	readonly #firstAtMs: number[] = [];
	readonly #repeatAtMs: number[] = [];

	/**
	 * @param settings - asked for each time, as they may change while the process runs
	 * @param slackFromMs - asked for each time: when this process may begin to use its part of the slack. Where another
	 * process ran in its place before, that one may have used it up to a window ago.
	 */
	constructor(settings: () => WindowBudgetSettings, slackFromMs: () => number) {
		this.#settings = settings;
		this.#slackFromMs = slackFromMs;
	}

	/** Notes a first attempt. */
	first(nowMs: number): void {
		this.#firstAtMs.push(nowMs);
		this.#forget(nowMs);
	}

	/**
	 * Takes one repeat, if there is one left.
	 *
	 * @param instances - greatest number of instances that may draw on the budget now
	 */
	tryTake(nowMs: number, instances: number): boolean {
		if (this.left(nowMs, instances) < 1) {
			return false;
		}

		this.#repeatAtMs.push(nowMs);
		return true;
	}

	/** Repeats left in the window that ends now; may be a fraction. */
	left(nowMs: number, instances: number): number {
		this.#forget(nowMs);
		const {ratio, slack} = this.#settings();
		const ownSlack = nowMs < this.#slackFromMs() ? 0 : slack / Math.max(1, instances);
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
