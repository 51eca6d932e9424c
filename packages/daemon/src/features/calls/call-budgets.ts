/** What calls share across a service or class: retry budgets, hedge budgets and recent answer times. */
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

/** One budget per service and per hedged class, for as long as its rule stays the same. */
export class CallBudgets {
	readonly #clock: Clock;
	readonly #retries = new Map<ServiceId, Budget>();
	readonly #hedging = new Map<RequestClassId, ClassHedging>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	retries(service: ServiceInForce): AttemptBudget {
		const ratio = service.rules.retries.budgetRatio;
		const known = this.#retries.get(service.id);
		if (known?.ratio === ratio) {
			return known.budget;
		}

		const budget = new AttemptBudget({...defaultRetryBudget, ratio}, this.#clock.monotonicMs());
		this.#retries.set(service.id, {ratio, budget});
		return budget;
	}

	/** Nothing where the class has no hedging. */
	hedging({id, hedging}: RequestClass): ClassHedging | undefined {
		if (hedging === undefined) {
			return undefined;
		}

		const {budgetRatio} = hedging;
		const known = this.#hedging.get(id);
		if (known?.budgetRatio === budgetRatio) {
			return known;
		}

		const budget = new AttemptBudget({...defaultHedgeBudget, ratio: budgetRatio}, this.#clock.monotonicMs());
		const made = {budgetRatio, budget, latencies: known?.latencies ?? new LatencyQuantiles()};
		this.#hedging.set(id, made);
		return made;
	}
}
