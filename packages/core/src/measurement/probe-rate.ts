/** Computes the rate at which one instance may probe one upstream, from the probe rules alone. */
import type {ProbeRules} from '../model/service-rules.js';

const msPerSecond = 1000;

/** Returns the probes per second that the whole fleet may send to an upstream with this number of slots. */
export function fleetProbesPerSecond(rules: ProbeRules, slots: number): number {
	if (rules.costMs === 0) {
		return rules.perSecondPerUpstream;
	}

	const bySlotTime = rules.slotTimeRatio * slots * msPerSecond / rules.costMs;
	return Math.min(rules.perSecondPerUpstream, bySlotTime);
}

/**
 * Returns the minimum time between two probes of one instance to one upstream. The fleet's rate is divided by the configured maximum
 * number of instances and not by the current number of members, because the member list lags and, in a network partition, each side
 * sees only a part of the fleet.
 *
 * @returns milliseconds, or `undefined` where the budget allows none
 */
export function probeIntervalMs(rules: ProbeRules, slots: number): number | undefined {
	const perSecond = fleetProbesPerSecond(rules, slots) / rules.maximumInstances;
	return perSecond > 0 ? msPerSecond / perSecond : undefined;
}
