/** The rate at which one instance may probe one upstream, from the rules alone. */
import type {ProbeRules} from '../model/service-rules.js';

const msPerSecond = 1000;

/** Probes each second that the whole fleet may send to an upstream of so many slots. */
export function fleetProbesPerSecond(rules: ProbeRules, slots: number): number {
	if (rules.costMs === 0) {
		return rules.perSecondPerUpstream;
	}

	const bySlotTime = rules.slotTimeRatio * slots * msPerSecond / rules.costMs;
	return Math.min(rules.perSecondPerUpstream, bySlotTime);
}

/**
 * Least time between two probes of one instance to one upstream. The divisor is the configured greatest
 * number of instances: a list of members lags, and two halves of a split fleet each see a half.
 *
 * @returns milliseconds, or `undefined` where the budget allows none
 */
export function probeIntervalMs(rules: ProbeRules, slots: number): number | undefined {
	const perSecond = fleetProbesPerSecond(rules, slots) / rules.maximumInstances;
	return perSecond > 0 ? msPerSecond / perSecond : undefined;
}
