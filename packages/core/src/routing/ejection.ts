/** Takes upstreams that fail out of new work for a time, and never more than the floor allows. */
import type {UpstreamState} from './upstream-state.js';

const failuresToEject = 3;
const baseEjectionMs = 1000;
const maximumDoublings = 5;

/** Upstreams out of work for another reason than an operator's or their own drain. */
function ejectedCount(states: readonly UpstreamState[], nowMs: number): number {
	return states.filter(state => state.ejectedUntilMs > nowMs).length;
}

/**
 * Counts a failure and ejects after several in a row, for a time that doubles with each ejection.
 *
 * @returns whether the upstream was ejected now
 */
export function recordFailure(state: UpstreamState, states: readonly UpstreamState[], floorRatio: number, nowMs: number): boolean {
	state.consecutiveFailures++;
	const isRepeated = state.consecutiveEjections > 0;
	const isDue = state.consecutiveFailures >= failuresToEject || isRepeated;
	if (!isDue || state.ejectedUntilMs > nowMs) {
		return false;
	}

	const remaining = states.length - ejectedCount(states, nowMs) - 1;
	if (remaining < states.length * floorRatio) {
		return false;
	}

	state.ejectedUntilMs = nowMs + (baseEjectionMs * (2 ** Math.min(state.consecutiveEjections, maximumDoublings)));
	state.consecutiveEjections++;
	state.slowStartFromMs = state.ejectedUntilMs;
	return true;
}

/** A success clears the record. */
export function recordSuccess(state: UpstreamState): void {
	state.consecutiveFailures = 0;
	state.consecutiveEjections = 0;
}
