/** Watches the direct links of this instance to the upstreams of each service. */
import type {ServiceId} from '@cairnbank/core';
import {LinkHealth} from '@cairnbank/core/reachability';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';

/** What other instances report of their own links. */
export type PeerLinks = {
	readonly live: number;
	/** Number of those that reach upstreams. */
	readonly reaching: number;
};

export type LinkMonitorOptions = {
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
	/** Returns the number of upstreams of a service that take requests. */
	readonly countUpstreams: (service: ServiceId) => number;
	readonly peers: () => PeerLinks;
};

export class LinkMonitor {
	readonly #options: LinkMonitorOptions;
	readonly #services = new Map<ServiceId, LinkHealth>();

	constructor(options: LinkMonitorOptions) {
		this.#options = options;
	}

	/** Records an answer on a connection of this instance. */
	recordAnswer({id, service}: RegisteredUpstream): void {
		this.#healthOf(service).recordAnswer(id);
		this.#evaluate(service);
	}

	/** Records that this instance could not connect, or that a health check got no answer in time. */
	recordFailure({id, service}: RegisteredUpstream): void {
		this.#healthOf(service).recordFailure(id);
		this.#evaluate(service);
	}

	/** Forgets an upstream that has left. */
	forget({id, service}: RegisteredUpstream): void {
		this.#services.get(service)?.forget(id);
	}

	/** Whether this instance has lost its links to the upstreams of a service. */
	isLost(service: ServiceId): boolean {
		return this.#services.get(service)?.lostAtMs !== undefined;
	}

	#healthOf(service: ServiceId): LinkHealth {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const health = new LinkHealth(this.#options.context.clock);
		this.#services.set(service, health);
		return health;
	}

	#evaluate(service: ServiceId): void {
		const {context: {clock, logger, metrics}, countUpstreams, peers} = this.#options;
		const health = this.#healthOf(service);
		const {failures, answeredAtMs, lostAtMs} = health;
		const upstreams = countUpstreams(service);
		const nowMs = clock.monotonicMs();
		switch (health.evaluate(upstreams)) {
			case 'lost': {
				const {live, reaching} = peers();
				logger.warn('links to upstreams lost', {
					service, failures, upstreams, answeredAgoMs: Math.round(nowMs - answeredAtMs), instances: live, instancesWithLinks: reaching,
				});
				break;
			}

			case 'regained': {
				logger.warn('links to upstreams regained', {service, upstreams, lostForMs: Math.round(nowMs - (lostAtMs ?? nowMs))});
				break;
			}

			case 'unchanged': {
				return;
			}
		}

		metrics.lostServices.set([...this.#services.values()].filter(({lostAtMs: sinceMs}) => sinceMs !== undefined).length);
	}
}
