/** What this instance knows of the fleet, for the limits of accounts. */
import type {LimiterFleet} from '@cairnbank/core/account-limits';
import type {FleetView} from '@cairnbank/core/fleet';

/** Time after the start within which an instance learns of the others. */
const settlingMs = 500;

export type KnownFleetOptions = {
	readonly view: FleetView;
	/** Hosts of the other live instances that serve callers. */
	readonly others: readonly string[];
	/** Addresses in the settings of instances that may be running. */
	readonly seeds: readonly string[];
	readonly sinceStartMs: number;
	readonly isLeaving: boolean;
};

/** Instances that are known by address and were not heard count as cut off, so that they are part of the size. */
export function describeFleet({view, others, seeds, sinceStartMs, isLeaving}: KnownFleetOptions): LimiterFleet {
	const candidates = view.candidates();
	const unheard = candidates.length + seeds.filter(seed => !view.isKnown(seed) && !candidates.includes(seed)).length;
	const isAlone = view.live().length === 0 && unheard > 0 && !view.size.isReported;
	return {
		others,
		suspected: view.suspected().map(({host}) => host),
		zoneOf: host => view.zoneOf(host),
		instances: Math.max(view.size.greatest, view.live().length + 1 + unheard),
		isKnown: sinceStartMs >= settlingMs && !isLeaving && !isAlone,
		hasHeardOthers: view.hasHeardOthersRecently,
	};
}
