/** Decides which upstreams may get a request or a health check from this instance now, by their advisories, warm-up and rate limits. */
import type {ServiceId} from '@cairnbank/core';
import {mayReceive} from '@cairnbank/core/advisories';
import type {FleetPace, PacedUpstream} from '@cairnbank/core/limits';
import {startIdOf} from '@cairnbank/core/registry';
import type {Metrics} from '../../metrics/metrics.js';
import type {Upstream} from './upstream.js';

export type EligibilityOptions = {
	readonly pace: FleetPace;
	/** Requests per second that a cold upstream of a service may get; undefined if unlimited. */
	readonly coldRequestsPerSecond: (service: ServiceId) => number | undefined;
	readonly metrics: Pick<Metrics, 'coldRequests'>;
};

export class Eligibility {
	readonly #options: EligibilityOptions;

	constructor(options: EligibilityOptions) {
		this.#options = options;
	}

	/** Whether this instance may send a request there now: the upstream takes requests, and its pace has a request left for this instance. */
	maySendRequest(upstream: Upstream): boolean {
		return this.mayCheck(upstream) && this.#rateBoundsOf(upstream).every(bound => this.#options.pace.mayUse(bound));
	}

	/** Whether it is a candidate for a request; includes upstreams that may be cold until a health check shows that they are warm. */
	mayConsider(upstream: Upstream): boolean {
		const {warmup, advertisedRate} = upstream.condition;
		const isPaced = warmup.isCold || advertisedRate.requestsPerSecond !== undefined;
		return isPaced ? this.maySendRequest(upstream) : this.mayCheck(upstream);
	}

	/** Whether a limit bounds its requests, so that each place that is found there uses up a part of it. */
	isPaced(upstream: Upstream): boolean {
		return this.#rateBoundsOf(upstream).length > 0;
	}

	/** Whether it may get a health check. */
	mayCheck({condition}: Upstream): boolean {
		return mayReceive(condition.advisories.availability);
	}

	/** Counts a request that is sent to the upstream. */
	recordRequest(upstream: Upstream): void {
		for (const bound of this.#rateBoundsOf(upstream)) {
			this.#options.pace.recordUse(bound);
		}

		if (this.#coldRateBoundOf(upstream) !== undefined) {
			this.#options.metrics.coldRequests.inc({service: upstream.registered.service});
		}
	}

	#rateBoundsOf(upstream: Upstream): readonly PacedUpstream[] {
		return [this.#coldRateBoundOf(upstream), advertisedRateBoundOf(upstream)].filter(bound => bound !== undefined);
	}

	/** Returns undefined if the upstream is warm, or has no rate limit while it is cold. */
	#coldRateBoundOf({registered, condition}: Upstream): PacedUpstream | undefined {
		const requestsPerSecond = condition.warmup.mayBeCold ? this.#options.coldRequestsPerSecond(registered.service) : undefined;
		return requestsPerSecond === undefined
			? undefined
			: {
				id: startIdOf(registered), availabilityZone: registered.availabilityZone, requestsPerSecond, isMeanRate: false,
			};
	}
}

function advertisedRateBoundOf({registered, condition}: Upstream): PacedUpstream | undefined {
	const {requestsPerSecond} = condition.advertisedRate;
	return requestsPerSecond === undefined
		? undefined
		: {
			id: startIdOf(registered), availabilityZone: registered.availabilityZone, requestsPerSecond, isMeanRate: true,
		};
}
