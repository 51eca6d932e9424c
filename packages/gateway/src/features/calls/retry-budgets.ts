/** This instance's part of the repeats of each service. */
import type {Clock, ServiceId} from '@cairnbank/core';
import {WindowBudget} from '@cairnbank/core/window-budget';
import type {Settings} from '../../settings/settings.js';

const millisecondsPerSecond = 1000;

export type RetryBudgetsOptions = {
	readonly clock: Clock;
	/** Asked for each time, as they may change while the process runs. */
	readonly bounds: () => Pick<Settings['bounds'], 'retryRatio' | 'retrySlack' | 'retryWindowSeconds'>;
	readonly isFirstStart: boolean;
};

export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #slackFromMs: number;
	readonly #ofServices = new Map<ServiceId, WindowBudget>();

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
		// Unless the whole fleet starts for the first time, another process may have run in this place a moment ago.
		this.#slackFromMs = options.isFirstStart ? Number.NEGATIVE_INFINITY : options.clock.monotonicMs() + this.#windowMs;
	}

	of(service: ServiceId): WindowBudget {
		const known = this.#ofServices.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new WindowBudget(() => {
			const {retryRatio, retrySlack} = this.#options.bounds();
			return {ratio: retryRatio, slack: retrySlack, windowMs: this.#windowMs};
		}, () => this.#slackFromMs);
		this.#ofServices.set(service, budget);
		return budget;
	}

	get #windowMs(): number {
		return this.#options.bounds().retryWindowSeconds * millisecondsPerSecond;
	}
}
