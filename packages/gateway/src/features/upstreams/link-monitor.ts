/** Watches the direct links of this instance to the upstreams of each service. */
import type {ServiceId} from '@cairnbank/core';
import {LinkHealth} from '@cairnbank/core/reachability';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from './upstream.js';

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
	/** Whether another instance can be asked to pass on a request to a service. */
	readonly hasRelay: (service: ServiceId) => boolean;
	/** Called when links to a service were lost or regained. */
	readonly onChanged: (service: ServiceId, change: 'lost' | 'regained') => void;
};

/** After links are regained, this instance is offered to callers again only if they stay for this time. */
const regainedForMs = 3000;
/** Links that are lost for a shorter time don't change who is offered to callers or asked to pass on requests. */
const lostForMs = 1000;

export class LinkMonitor {
	readonly #options: LinkMonitorOptions;
	readonly #services = new Map<ServiceId, LinkHealth>();
	#lostAllUntilMs = Number.NEGATIVE_INFINITY;

	constructor(options: LinkMonitorOptions) {
		this.#options = options;
	}

	/** Records an answer on a connection of this instance. */
	recordAnswer({id, service}: RegisteredUpstream): void {
		this.#healthOf(service).recordAnswer(id);
		this.#evaluate(service);
	}

	/**
	 * Records that this instance could not connect, or that a health check got no answer in time.
	 *
	 * @param isSilent - whether nothing came back; otherwise the connection was refused
	 */
	recordFailure({id, service}: RegisteredUpstream, isSilent: boolean): void {
		this.#healthOf(service).recordFailure(id, isSilent);
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

	/** Whether this instance reaches upstreams itself, and has done so for a while. */
	get reachesUpstreams(): boolean {
		const nowMs = this.#options.context.clock.monotonicMs();
		if (this.#hasLostAll) {
			this.#lostAllUntilMs = nowMs + regainedForMs;
		}

		return nowMs >= this.#lostAllUntilMs;
	}

	/** Whether another instance can pass on requests to a service. */
	hasRelay(service: ServiceId): boolean {
		return this.#options.hasRelay(service);
	}

	/** Whether a request may be sent to the upstream on the path that is in use. */
	mayUse({registered: {id, service}, pool}: Upstream): boolean {
		return pool.path.isRelayed ? this.hasRelay(service) : !this.isLost(service) || this.#healthOf(service).hasAnsweredSinceLoss(id);
	}

	/** Whether the next health check of the upstream goes through another instance, to find out whether that one reaches it. */
	shouldTryRelay(upstream: Upstream): boolean {
		return !this.mayUse(upstream) && upstream.pool.path.isRelayTurn && this.hasRelay(upstream.registered.service);
	}

	/** Whether this instance has lost its own link to the upstream, which may work for others. */
	hasLostLink(upstream: Upstream): boolean {
		return upstream.pool.path.isRelayed || !this.mayUse(upstream);
	}

	/** Whether links to a service have been lost for a while and no upstream has answered on a connection of this instance since. */
	get #hasLostAll(): boolean {
		const services = [...this.#services.values()];
		const lostAtMs = services.flatMap(health => health.lostAtMs ?? []);
		const isLongAgo = lostAtMs.some(sinceMs => this.#options.context.clock.monotonicMs() - sinceMs >= lostForMs);
		return isLongAgo && services.every(health => health.lostAtMs !== undefined || health.answeredAtMs < Math.min(...lostAtMs));
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
		const change = health.evaluate(upstreams);
		switch (change) {
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

		this.#options.onChanged(service, change);
		metrics.lostServices.set([...this.#services.values()].filter(({lostAtMs: sinceMs}) => sinceMs !== undefined).length);
	}
}
