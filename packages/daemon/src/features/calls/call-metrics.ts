/** Metrics of the calls feature. */
import type {ServiceId} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import type {AttemptKind} from '@cairnbank/core/retries';
import {Counter, type Registry} from 'prom-client';

type ServiceCounters = {
	readonly attempts: Readonly<Record<AttemptKind, Counter.Internal>>;
	readonly outcomes: Readonly<Record<Outcome['type'], Counter.Internal>>;
	readonly hedgesCancelled: Counter.Internal;
	readonly suspected: Counter.Internal;
	readonly refusedSuspects: Counter.Internal;
};

/** Counters with their labels bound once per service, as a lookup by labels costs more than the count. */
export class CallMetrics {
	readonly #attempts: Counter<'service' | 'kind'>;
	readonly #outcomes: Counter<'service' | 'outcome'>;
	readonly #hedgesCancelled: Counter<'service'>;
	readonly #suspected: Counter<'service'>;
	readonly #refusedSuspects: Counter<'service'>;
	readonly #services = new Map<ServiceId, ServiceCounters>();

	constructor(registry: Registry) {
		const registers = [registry];
		this.#attempts = new Counter({
			name: 'cairnbank_attempts_total', help: 'Attempts at upstreams', labelNames: ['service', 'kind'], registers,
		});
		this.#outcomes = new Counter({
			name: 'cairnbank_calls_total', help: 'Calls by what their caller was told', labelNames: ['service', 'outcome'], registers,
		});
		this.#hedgesCancelled = new Counter({
			name: 'cairnbank_hedge_losers_total', help: 'Attempts cancelled as another one of their call answered first', labelNames: ['service'], registers,
		});
		this.#suspected = new Counter({
			name: 'cairnbank_suspects_total', help: 'Calls in flight on an upstream that crashed', labelNames: ['service'], registers,
		});
		this.#refusedSuspects = new Counter({
			name: 'cairnbank_suspects_refused_total', help: 'Calls refused as their request crashed upstreams', labelNames: ['service'], registers,
		});
	}

	attempted(service: ServiceId, kind: AttemptKind): void {
		this.#of(service).attempts[kind].inc();
	}

	ended(service: ServiceId, outcome: Outcome): void {
		this.#of(service).outcomes[outcome.type].inc();
	}

	hedgeCancelled(service: ServiceId): void {
		this.#of(service).hedgesCancelled.inc();
	}

	suspected(service: ServiceId): void {
		this.#of(service).suspected.inc();
	}

	refusedSuspect(service: ServiceId): void {
		this.#of(service).refusedSuspects.inc();
	}

	#of(service: ServiceId): ServiceCounters {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const made = this.#bind(service);
		this.#services.set(service, made);
		return made;
	}

	#bind(service: ServiceId): ServiceCounters {
		const attempts = (kind: AttemptKind) => this.#attempts.labels({service, kind});
		const outcomes = (outcome: Outcome['type']) => this.#outcomes.labels({service, outcome});
		return {
			attempts: {first: attempts('first'), retry: attempts('retry'), hedge: attempts('hedge')},
			outcomes: {
				answered: outcomes('answered'),
				streamed: outcomes('streamed'),
				'broken-off': outcomes('broken-off'),
				'not-run': outcomes('not-run'),
				unknown: outcomes('unknown'),
			},
			hedgesCancelled: this.#hedgesCancelled.labels({service}),
			suspected: this.#suspected.labels({service}),
			refusedSuspects: this.#refusedSuspects.labels({service}),
		};
	}
}
