/** State that all calls of a service or of a request class share: retry budgets, hedge budgets and recent latencies. */
import type {
	Clock, RequestClass, RequestClassId, ServiceId,
} from '@cairnbank/core';
import {
	AttemptBudget, defaultHedgeBudget, defaultRetryBudget, LatencyQuantiles,
} from '@cairnbank/core/retries';
import type {ServiceInForce} from './service-in-force.js';

type Budget = {readonly ratio: number; readonly budget: AttemptBudget};

export type ClassHedging = {
	readonly budgetRatio: number;
	readonly budget: AttemptBudget;
	readonly latencies: LatencyQuantiles;
};

/** Keeps one retry budget per service and one hedge budget per hedged class. A budget is replaced when its configured ratio changes. */
export class CallBudgets {
	readonly #clock: Clock;
	readonly #retries = new Map<ServiceId, Budget>();
	readonly #hedging = new Map<RequestClassId, ClassHedging>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	retryBudgetFor(service: ServiceInForce): AttemptBudget {
		const ratio = service.rules.retries.budgetRatio;
		const existing = this.#retries.get(service.id);
		if (existing?.ratio === ratio) {
			return existing.budget;
		}

		const budget = new AttemptBudget({...defaultRetryBudget, ratio}, this.#clock.monotonicMs());
		this.#retries.set(service.id, {ratio, budget});
		return budget;
	}

	/** @returns undefined if hedging is not configured for the class */
	hedgingFor({id, hedging}: RequestClass): ClassHedging | undefined {
		if (hedging === undefined) {
			return undefined;
		}

		const {budgetRatio} = hedging;
		const existing = this.#hedging.get(id);
		if (existing?.budgetRatio === budgetRatio) {
			return existing;
		}

		const budget = new AttemptBudget({...defaultHedgeBudget, ratio: budgetRatio}, this.#clock.monotonicMs());
		const created = {budgetRatio, budget, latencies: existing?.latencies ?? new LatencyQuantiles()};
		this.#hedging.set(id, created);
		return created;
	}
}
