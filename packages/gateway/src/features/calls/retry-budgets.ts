/** This instance's part of the repeats of each service. */
import type {ServiceId} from '@cairnbank/core';
import {WindowBudget} from '@cairnbank/core/window-budget';
import type {Settings} from '../../settings/settings.js';

const millisecondsPerSecond = 1000;

export type RetryBudgetsOptions = {
	/** Asked for each time, as they may change while the process runs. */
	readonly bounds: () => Pick<Settings['bounds'], 'retryRatio' | 'retrySlack' | 'retryWindowSeconds'>;
};

export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #ofServices = new Map<ServiceId, WindowBudget>();

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
	}

	of(service: ServiceId): WindowBudget {
		const known = this.#ofServices.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new WindowBudget(() => {
			const {retryRatio, retrySlack, retryWindowSeconds} = this.#options.bounds();
			return {ratio: retryRatio, slack: retrySlack, windowMs: retryWindowSeconds * millisecondsPerSecond};
		});
		this.#ofServices.set(service, budget);
		return budget;
	}
}
