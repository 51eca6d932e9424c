/** Selects the upstreams of a service that this instance considers first, and samples others. */
import type {AvailabilityZoneId, ServiceId} from '@cairnbank/core';
import {
	coreSize, subsetSize, takeSubset, type SubsetPosition,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from './upstream.js';

/** Every instance uses all upstreams of a service that has at most this many. */
const maximumWithoutSubset = 2 * subsetSize;
/** Number of other upstreams that are added at a time, at random. */
const sampleSize = 8;

export type PreferredUpstreamsOptions = {
	readonly context: Pick<Context, 'random' | 'settings'>;
	/** Returns the upstreams that take new requests, of one availability zone or of all, in the same order on all instances. */
	readonly ofService: (service: ServiceId, zone?: AvailabilityZoneId) => readonly Upstream[];
	/** Returns the position of this instance among those of its availability zone or of the fleet. */
	readonly subsetPosition: (among: 'zone' | 'fleet') => SubsetPosition;
};

export type Preferred = {
	readonly upstreams: readonly Upstream[];
	/** Whether an upstream is among those that are used as long as they suffice. */
	readonly isInCore: (upstream: Upstream) => boolean;
};

export class PreferredUpstreams {
	readonly #options: PreferredUpstreamsOptions;

	constructor(options: PreferredUpstreamsOptions) {
		this.#options = options;
	}

	/** Returns a subset of a large service, in the own availability zone if it has enough; all usable upstreams of a small one. */
	of(service: ServiceId, usable: readonly Upstream[]): Preferred {
		if (usable.length <= maximumWithoutSubset) {
			return {upstreams: usable, isInCore: () => true};
		}

		const {context, ofService, subsetPosition} = this.#options;
		const inOwnZone = ofService(service, context.settings.availabilityZone as AvailabilityZoneId);
		const hasFullSubset = inOwnZone.length >= subsetSize;
		const isUsable = new Set(usable);
		const ring = hasFullSubset ? inOwnZone : ofService(service);
		const position = subsetPosition(hasFullSubset ? 'zone' : 'fleet');
		const subset = takeSubset(ring, position, upstream => isUsable.has(upstream));
		if (subset.length === 0) {
			return {upstreams: usable, isInCore: () => true};
		}

		const core = new Set(subset.slice(0, coreSize({instances: position.count, upstreams: ring.length})));
		return {upstreams: subset, isInCore: upstream => core.has(upstream)};
	}

	/** Samples from other availability zones if possible, as the preferred upstreams already show how busy the own zone is. */
	sampleOthers(usable: readonly Upstream[], considered: ReadonlySet<Upstream>): readonly Upstream[] {
		const {random, settings} = this.#options.context;
		const remaining = usable.filter(upstream => !considered.has(upstream));
		const inOtherZones = remaining.filter(({registered}) => registered.availabilityZone !== settings.availabilityZone);
		const others = inOtherZones.length > 0 ? inOtherZones : remaining;
		return Array.from({length: Math.min(sampleSize, others.length)}, () => others.splice(random.nextInteger(others.length), 1)[0]!);
	}
}
