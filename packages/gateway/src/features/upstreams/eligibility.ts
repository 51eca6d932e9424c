/** Which upstreams may get a request or a health check of this instance now, by what they have said of themselves. */
import type {ServiceId} from '@cairnbank/core';
import {mayReceive} from '@cairnbank/core/advisories';
import type {FleetPace, PacedUpstream} from '@cairnbank/core/limits';
import {startOf} from '@cairnbank/core/registry';
import type {Metrics} from '../../metrics/metrics.js';
import type {Upstream} from './upstream.js';

export type EligibilityOptions = {
	readonly pace: FleetPace;
	/** Requests a second that a cold upstream of a service bears; nothing where that has no bound. */
	readonly coldRequestsPerSecond: (service: ServiceId) => number | undefined;
	readonly metrics: Pick<Metrics, 'coldRequests'>;
};

export class Eligibility {
	readonly #options: EligibilityOptions;

	constructor(options: EligibilityOptions) {
		this.#options = options;
	}

	/** All but those that take nothing, and those that are left to other instances for now. */
	mayTake(upstream: Upstream): boolean {
		return this.mayCheck(upstream) && this.#boundsOf(upstream).every(bound => this.#options.pace.mayUse(bound));
	}

	/** Whether it may be considered for a request: also one that only a health check can show to be warm. */
	mayConsider(upstream: Upstream): boolean {
		const {warmth, advertisedRate} = upstream.condition;
		const isPaced = warmth.isCold || advertisedRate.requestsPerSecond !== undefined;
		return isPaced ? this.mayTake(upstream) : this.mayCheck(upstream);
	}

	/** Whether it may get a health check. */
	mayCheck({condition}: Upstream): boolean {
		return mayReceive(condition.advisories.availability);
	}

	/** A request is sent there. */
	taken(upstream: Upstream): void {
		for (const bound of this.#boundsOf(upstream)) {
			this.#options.pace.recordUse(bound);
		}

		if (this.#coldBoundOf(upstream) !== undefined) {
			this.#options.metrics.coldRequests.inc({service: upstream.registered.service});
		}
	}

	#boundsOf(upstream: Upstream): readonly PacedUpstream[] {
		return [this.#coldBoundOf(upstream), advertisedBoundOf(upstream)].filter(bound => bound !== undefined);
	}

	/** Nothing where it is warm, or bears any number of requests while it is not. */
	#coldBoundOf({registered, condition}: Upstream): PacedUpstream | undefined {
		const requestsPerSecond = condition.warmth.mayBeCold ? this.#options.coldRequestsPerSecond(registered.service) : undefined;
		return requestsPerSecond === undefined
			? undefined
			: {
				id: startOf(registered), availabilityZone: registered.availabilityZone, requestsPerSecond, isMeanRate: false,
			};
	}
}

function advertisedBoundOf({registered, condition}: Upstream): PacedUpstream | undefined {
	const {requestsPerSecond} = condition.advertisedRate;
	return requestsPerSecond === undefined
		? undefined
		: {
			id: startOf(registered), availabilityZone: registered.availabilityZone, requestsPerSecond, isMeanRate: true,
		};
}
