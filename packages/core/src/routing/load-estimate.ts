/** The load of an upstream as believed now: own requests exactly, those of others by an aged report. */
import type {ServiceAverages} from './service-averages.js';
import type {UpstreamState} from './upstream-state.js';

/** Weight of evidence of a given age: 1 when fresh, a half after the half-life. */
export function decayWeight(ageMs: number, halfLifeMs: number): number {
	return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/** Requests that the upstream is believed to hold; an old report gives way to the service's average. */
export function estimatedInFlight(state: UpstreamState, averages: ServiceAverages, halfLifeMs: number, nowMs: number): number {
	const weight = decayWeight(nowMs - state.reportAtMs, halfLifeMs);
	const averageOthers = averages.othersPerSlot * state.upstream.slots;
	return state.inFlight + (weight * state.othersInFlight) + ((1 - weight) * averageOthers);
}
