/** Estimates the current load of an upstream: requests of this instance are counted exactly, those of others come from its last load report, weighted by age. */
import type {ServiceAverages} from './service-averages.js';
import type {UpstreamState} from './upstream-state.js';

/** Returns the weight of a report of the given age: 1 for a new one, 0.5 after the half-life. */
export function decayWeight(ageMs: number, halfLifeMs: number): number {
	return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/** Returns the estimated number of requests in flight at the upstream. The older the report, the more the service's average replaces it. */
export function estimatedInFlight(state: UpstreamState, averages: ServiceAverages, halfLifeMs: number, nowMs: number): number {
	const weight = decayWeight(nowMs - state.reportAtMs, halfLifeMs);
	const averageOthers = averages.othersPerSlot * state.upstream.slots;
	return state.inFlight + (weight * state.othersInFlight) + ((1 - weight) * averageOthers);
}
