/** Metrics of upstream selection, admission and the cost of probes. */
import type {RequestClassId, ServiceId, UpstreamId} from '@cairnbank/core';
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

const queueWaitBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1];
const millisecondsPerSecond = 1000;

/** Values of one upstream's gauges at the time of a scrape. */
export type UpstreamGaugeValues = {
	readonly service: ServiceId;
	readonly upstream: UpstreamId;
	readonly inFlight: number;
	readonly limit: number;
	readonly latencyMs: number | undefined;
	readonly isDraining: boolean;
	readonly isEjected: boolean;
};

export class UpstreamMetrics {
	readonly #probes: Counter<'service' | 'upstream'>;
	readonly #probeSlotSeconds: Counter<'service' | 'upstream'>;
	readonly #shed: Counter<'service' | 'class' | 'reason'>;
	readonly #queued: Counter<'service'>;
	readonly #queueLength: Gauge<'service'>;
	readonly #queueWaitSeconds: Histogram<'service'>;

	constructor(registry: Registry, readValues: () => Iterable<UpstreamGaugeValues>) {
		const registers = [registry];
		this.#probes = new Counter({
			name: 'cairnbank_probes_total', help: 'Probes sent to the upstream', labelNames: ['service', 'upstream'], registers,
		});
		this.#probeSlotSeconds = new Counter({
			name: 'cairnbank_probe_slot_seconds_total', help: 'Slot time of the probes sent, at the cost per probe in the rules', labelNames: ['service', 'upstream'], registers,
		});
		this.#shed = new Counter({
			name: 'cairnbank_shed_total', help: 'Calls refused by admission as not run', labelNames: ['service', 'class', 'reason'], registers,
		});
		this.#queued = new Counter({
			name: 'cairnbank_queued_total', help: 'Calls that were queued for an upstream', labelNames: ['service'], registers,
		});
		this.#queueLength = new Gauge({
			name: 'cairnbank_queue_length', help: 'Calls that are queued for an upstream', labelNames: ['service'], registers,
		});
		this.#queueWaitSeconds = new Histogram({
			name: 'cairnbank_queue_wait_seconds', help: 'Time that calls were queued for an upstream', labelNames: ['service'], buckets: queueWaitBucketsSeconds, registers,
		});
		registerGauges(registry, readValues);
	}

	countProbe(service: ServiceId, upstream: UpstreamId, costMs: number): void {
		this.#probes.inc({service, upstream});
		this.#probeSlotSeconds.inc({service, upstream}, costMs / millisecondsPerSecond);
	}

	countShed(service: ServiceId, requestClass: RequestClassId, reason: string): void {
		this.#shed.inc({service, class: requestClass, reason});
	}

	countQueued(service: ServiceId): void {
		this.#queued.inc({service});
	}

	observeQueueWait(service: ServiceId, waitMs: number): void {
		this.#queueWaitSeconds.observe({service}, waitMs / millisecondsPerSecond);
	}

	setQueueLength(service: ServiceId, length: number): void {
		this.#queueLength.set({service}, length);
	}
}

/** Registers gauges that are computed on each scrape, so that they cost nothing in between. */
function registerGauges(registry: Registry, readValues: () => Iterable<UpstreamGaugeValues>): void {
	const register = (name: string, help: string, value: (values: UpstreamGaugeValues) => number | undefined) => {
		registry.registerMetric(new Gauge({
			name,
			help,
			labelNames: ['service', 'upstream'] as const,
			registers: [],
			collect() {
				this.reset();
				for (const values of readValues()) {
					const current = value(values);
					if (current !== undefined) {
						this.set({service: values.service, upstream: values.upstream}, current);
					}
				}
			},
		}));
	};

	register('cairnbank_upstream_in_flight', 'Requests of this instance in flight', ({inFlight}) => inFlight);
	register('cairnbank_upstream_limit', 'Limit of requests of this instance in flight', ({limit}) => limit);
	register('cairnbank_upstream_latency_seconds', 'Recent response time', ({latencyMs}) => latencyMs === undefined ? undefined : latencyMs / millisecondsPerSecond);
	register('cairnbank_upstream_draining', '1 while the upstream takes no new requests', ({isDraining}) => Number(isDraining));
	register('cairnbank_upstream_ejected', '1 while the upstream is ejected after failures', ({isEjected}) => Number(isEjected));
}
