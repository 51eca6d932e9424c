/** Metrics of the calls feature. */
import type {ServiceId} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import type {AttemptKind} from '@cairnbank/core/retries';
import {Counter, Histogram, type Registry} from 'prom-client';

const millisecondsPerSecond = 1000;
const addedBucketsSeconds = [0.0001, 0.0002, 0.0005, 0.001, 0.0012, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1];

type ServiceCounters = {
	readonly attempts: Readonly<Record<AttemptKind, Counter.Internal>>;
	readonly outcomes: Readonly<Record<Outcome['type'], Counter.Internal>>;
	readonly added: Histogram.Internal<'service'>;
	readonly hedgesCancelled: Counter.Internal;
	readonly suspected: Counter.Internal;
	readonly refusedSuspects: Counter.Internal;
};

/** Counters with their labels bound once per service, as a lookup by labels costs more than the count. */
export class CallMetrics {
	readonly #attempts: Counter<'service' | 'kind'>;
	readonly #outcomes: Counter<'service' | 'outcome'>;
	readonly #added: Histogram<'service'>;
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
		this.#added = new Histogram({
			name: 'cairnbank_call_added_seconds',
			help: 'Time from a request read whole to the start of the attempt that answered it',
			labelNames: ['service'],
			buckets: addedBucketsSeconds,
			registers,
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

	added(service: ServiceId, addedMs: number): void {
		this.#of(service).added.observe(addedMs / millisecondsPerSecond);
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
			added: this.#added.labels({service}),
			hedgesCancelled: this.#hedgesCancelled.labels({service}),
			suspected: this.#suspected.labels({service}),
			refusedSuspects: this.#refusedSuspects.labels({service}),
		};
	}
}
