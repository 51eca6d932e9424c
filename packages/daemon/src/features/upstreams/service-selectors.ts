/** Holds the upstream selector of each service. All selectors are replaced together when the configuration changes. */
import type {
	AvailabilityZoneId, InstanceId, RandomSource, ServiceId, UpstreamId,
} from '@cairnbank/core';
import {UpstreamSelector} from '@cairnbank/core/routing';
import type {ServiceInForce} from '../calls/service-in-force.js';

export type ServiceSelectorsOptions = {
	readonly instance: InstanceId;
	readonly availabilityZone: AvailabilityZoneId;
	readonly random: RandomSource;
};

export class ServiceSelectors {
	readonly #options: ServiceSelectorsOptions;
	#selectors: ReadonlyMap<ServiceId, UpstreamSelector> = new Map();
	#serviceOf: ReadonlyMap<UpstreamId, ServiceId> = new Map();
	#instances: readonly InstanceId[] = [];

	constructor(options: ServiceSelectorsOptions) {
		this.#options = options;
	}

	/** Replaces the services. The state of upstreams that remain is kept. */
	setServices(services: Iterable<ServiceInForce>, nowMs: number): void {
		const selectors = new Map<ServiceId, UpstreamSelector>();
		const serviceOf = new Map<UpstreamId, ServiceId>();
		for (const service of services) {
			const previous = this.#selectors.get(service.id);
			selectors.set(service.id, new UpstreamSelector({
				...this.#options,
				service: {id: service.id, upstreams: [...service.upstreams]},
				rules: service.rules,
				instances: this.#instances,
				nowMs,
				...(previous && {previous}),
			}));
			for (const {id} of service.upstreams) {
				serviceOf.set(id, service.id);
			}
		}

		this.#selectors = selectors;
		this.#serviceOf = serviceOf;
	}

	get(service: ServiceId): UpstreamSelector | undefined {
		return this.#selectors.get(service);
	}

	/** Returns the selector of the service that the upstream belongs to. */
	ofUpstream(upstream: UpstreamId): UpstreamSelector | undefined {
		const service = this.#serviceOf.get(upstream);
		return service && this.#selectors.get(service);
	}

	entries(): Iterable<[ServiceId, UpstreamSelector]> {
		return this.#selectors;
	}

	/** Sets the instances in service. Does nothing if they have not changed. */
	setInstances(instances: readonly InstanceId[]): void {
		const sorted = [...new Set(instances)].sort();
		if (sorted.length === this.#instances.length && sorted.every((id, index) => id === this.#instances[index])) {
			return;
		}

		this.#instances = sorted;
		for (const selector of this.#selectors.values()) {
			selector.setInstances(sorted);
		}
	}
}
