/** Metrics of the calls feature. */
import type {ServiceId} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import type {SuspectCounts} from '@cairnbank/core/poison';
import type {Attempt, AttemptKind} from '@cairnbank/core/retries';
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {Call} from './call.js';

const millisecondsPerSecond = 1000;
const addedBucketsSeconds = [0.0001, 0.0002, 0.0005, 0.001, 0.0012, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1];

type ServiceCounts = {
	readonly attempts: Record<AttemptKind, number>;
	readonly outcomes: Record<Outcome['type'], number>;
	readonly added: Histogram.Internal<'service'>;
	hedgeLosers: number;
	refusedSuspects: number;
};

/** One sample of a counter: the values of its labels and the count. */
type Sample = {readonly labels: Readonly<Record<string, string>>; readonly count: number};

function toSamples<Value extends string>(label: string, counts: Readonly<Record<Value, number>>): Sample[] {
	return Object.entries<number>(counts).map(([value, count]) => ({labels: {[label]: value}, count}));
}

/** Counts calls in plain numbers, which the registry reads at each scrape: a labelled counter would compute a hash for each increment. */
export class CallMetrics {
	readonly #registry: Registry;
	readonly #services = new Map<ServiceId, ServiceCounts>();
	readonly #added: Histogram<'service'>;
	readonly #suspected: Counter;

	constructor(registry: Registry) {
		this.#registry = registry;
		this.#added = new Histogram({
			name: 'cairnbank_call_added_seconds',
			help: 'Time from a request read whole to the start of the attempt that answered it',
			labelNames: ['service'],
			buckets: addedBucketsSeconds,
			registers: [registry],
		});
		this.#suspected = new Counter({
			name: 'cairnbank_suspects_total', help: 'Requests in flight on an upstream that crashed', registers: [registry],
		});
		this.#register('cairnbank_attempts_total', 'Attempts at upstreams', ['kind'], ({attempts}) => toSamples('kind', attempts));
		this.#register('cairnbank_calls_total', 'Calls by what their caller was told', ['outcome'], ({outcomes}) => toSamples('outcome', outcomes));
		this.#register('cairnbank_hedge_losers_total', 'Attempts cancelled as another one of their call answered first', [], ({hedgeLosers}) => [{labels: {}, count: hedgeLosers}]);
		this.#register('cairnbank_suspects_refused_total', 'Calls refused as their request crashed upstreams', [], ({refusedSuspects}) => [{labels: {}, count: refusedSuspects}]);
	}

	/** Registers a gauge of the number of suspects by state. */
	registerSuspectGauge(read: () => SuspectCounts): void {
		// eslint-disable-next-line no-new -- it registers itself
		new Gauge({
			name: 'cairnbank_suspects',
			help: 'Requests that are suspected of crashing upstreams, or refused for it',
			labelNames: ['state'],
			registers: [this.#registry],
			collect() {
				const {suspected, onTrial, refused} = read();
				this.set({state: 'suspected'}, suspected);
				this.set({state: 'on-trial'}, onTrial);
				this.set({state: 'refused'}, refused);
			},
		});
	}

	countAttempt(service: ServiceId, kind: AttemptKind): void {
		this.#countsFor(service).attempts[kind] += 1;
	}

	countOutcome(service: ServiceId, outcome: Outcome): void {
		this.#countsFor(service).outcomes[outcome.type] += 1;
	}

	/** Observes the latency that this instance added: the time from reading the request to the start of the attempt that was answered. */
	observeAddedLatency({readAtMs, serviceId}: Call, attempts: readonly Attempt[], {type}: Outcome): void {
		const winner = type === 'answered' || type === 'streamed'
			? attempts.find(({end}) => end?.result.type === type)
			: undefined;
		if (winner !== undefined && readAtMs !== undefined) {
			this.#countsFor(serviceId).added.observe((winner.startedAtMs - readAtMs) / millisecondsPerSecond);
		}
	}

	countCancelledAttempt(service: ServiceId): void {
		this.#countsFor(service).hedgeLosers += 1;
	}

	countRefusedSuspect(service: ServiceId): void {
		this.#countsFor(service).refusedSuspects += 1;
	}

	countSuspect(): void {
		this.#suspected.inc();
	}

	#countsFor(service: ServiceId): ServiceCounts {
		const existing = this.#services.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const created = this.#createCounts(service);
		this.#services.set(service, created);
		return created;
	}

	#createCounts(service: ServiceId): ServiceCounts {
		return {
			attempts: {first: 0, retry: 0, hedge: 0},
			outcomes: {
				answered: 0, streamed: 0, 'broken-off': 0, 'not-run': 0, unknown: 0,
			},
			added: this.#added.labels({service}),
			hedgeLosers: 0,
			refusedSuspects: 0,
		};
	}

	#register(name: string, help: string, labelNames: readonly string[], read: (counts: ServiceCounts) => readonly Sample[]): void {
		const services = this.#services;
		// eslint-disable-next-line no-new -- it registers itself
		new Counter({
			name,
			help,
			labelNames: ['service', ...labelNames],
			registers: [this.#registry],
			collect() {
				this.reset();
				for (const [service, counts] of services) {
					for (const {labels, count} of read(counts)) {
						this.inc({service, ...labels}, count);
					}
				}
			},
		});
	}
}
