/** Keeps the retry budget of each service on this instance. */
import type {ServiceId} from '@cairnbank/core';
import {WindowBudget} from '@cairnbank/core/window-budget';
import type {Settings} from '../../settings/settings.js';

const millisecondsPerSecond = 1000;

export type RetryBudgetsOptions = {
	/** Read on each use, as the settings may change while the process runs. */
	readonly bounds: () => Pick<Settings['bounds'], 'retryRatio' | 'retrySlack' | 'retryWindowSeconds'>;
};

export class RetryBudgets {
	readonly #options: RetryBudgetsOptions;
	readonly #byService = new Map<ServiceId, WindowBudget>();

	constructor(options: RetryBudgetsOptions) {
		this.#options = options;
	}

	forService(service: ServiceId): WindowBudget {
		const known = this.#byService.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = new WindowBudget(() => {
			const {retryRatio, retrySlack, retryWindowSeconds} = this.#options.bounds();
			return {ratio: retryRatio, slack: retrySlack, windowMs: retryWindowSeconds * millisecondsPerSecond};
		});
		this.#byService.set(service, budget);
		return budget;
	}
}
