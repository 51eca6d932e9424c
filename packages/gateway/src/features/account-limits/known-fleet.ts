/** What this instance knows of the fleet, for the limits of accounts. */
import type {LimiterFleet} from '@cairnbank/core/account-limits';
import type {FleetView} from '@cairnbank/core/fleet';

/** Time after the start within which an instance learns of the others. */
const settlingMs = 500;
/**
 * Time after the start from which an instance decides though it knows of fewer instances than the fleet is reported to have. Those that it
 * doesn't know may decide on an account meanwhile, so they have to be asked for their tokens; some of them may be gone.
 */
const incompleteMs = 2000;
/** Time after the start from which an instance that has heard no other one tells callers at once that it can't decide. */
const aloneNoticedMs = 1000;
/**
 * Time after the start from which an instance that has heard no other one decides all the same. The others may have ended, or live behind
 * a cut: those last 5.5 s, and heartbeats arrive within a second after it.
 */
const aloneDecidesMs = 8000;
/** Time for which the addresses in the settings count as instances that may be cut off; as long as the fleet's size is kept. */
const seedRetentionMs = 3_600_000;

export type KnownFleetOptions = {
	readonly view: FleetView;
	/** Hosts of the other live instances that serve callers. */
	readonly others: readonly string[];
	/** Addresses in the settings of instances that may be running. */
	readonly seeds: readonly string[];
	readonly sinceStartMs: number;
	readonly isLeaving: boolean;
};

/**
 * Describes the fleet. Instances that are known by address and were not heard count as cut off, so that they are part of the size: an
 * instance that is alone decides on its own part of a limit only.
 */
export function describeFleet({view, others, seeds, sinceStartMs, isLeaving}: KnownFleetOptions): LimiterFleet {
	const candidates = view.candidates();
	const unheardSeeds = sinceStartMs < seedRetentionMs ? seeds.filter(seed => !view.isKnown(seed) && !candidates.includes(seed)) : [];
	const live = view.live().length;
	const unheard = candidates.length + unheardSeeds.length;
	const isAlone = live === 0 && unheard > 0 && !view.size.isReported;
	const isComplete = view.knownInstances >= view.size.greatest;
	const decidesAfterMs = isAlone ? aloneDecidesMs : (isComplete ? settlingMs : incompleteMs);
	return {
		others,
		suspected: view.suspected().map(({host}) => host),
		zoneOf: host => view.zoneOf(host),
		instances: Math.max(view.size.greatest, live + 1 + unheard),
		isKnown: sinceStartMs >= decidesAfterMs && !isLeaving,
		isAlone: isAlone && sinceStartMs >= aloneNoticedMs && sinceStartMs < aloneDecidesMs,
		hasHeardOthers: view.hasHeardOthersRecently,
	};
}
