/** Outlier ejection: sends no new requests to failing upstreams for a time, while the configured share of upstreams stays in use. */
import type {UpstreamState} from './upstream-state.js';

const failuresToEject = 3;
const baseEjectionMs = 1000;
const maximumDoublings = 5;

/** Counts ejected upstreams; draining ones are not included unless they are ejected too. */
function ejectedCount(states: readonly UpstreamState[], nowMs: number): number {
	return states.filter(state => state.ejectedUntilMs > nowMs).length;
}

/**
 * Counts a failure and ejects the upstream after several consecutive ones. The ejection time doubles with each
 * consecutive ejection, and after the first ejection a single failure is enough.
 *
 * @returns whether this failure ejected the upstream
 */
export function recordFailure(state: UpstreamState, states: readonly UpstreamState[], floorRatio: number, nowMs: number): boolean {
	state.consecutiveFailures++;
	const wasEjectedBefore = state.consecutiveEjections > 0;
	const isDue = state.consecutiveFailures >= failuresToEject || wasEjectedBefore;
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

/** Resets the failure and ejection counts. */
export function recordSuccess(state: UpstreamState): void {
	state.consecutiveFailures = 0;
	state.consecutiveEjections = 0;
}
