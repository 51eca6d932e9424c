/** Decides whether to probe more upstreams for their load before a request is placed. */
import {lastSlotSlowness} from './expected-duration.js';

/** Least number of rounds that look for a lightly loaded upstream, because a request that takes a last slot runs longer. */
const roundsForLightLoad = 2;
/** After this many rounds the best upstream found is used, because each round costs time and health checks. */
const maximumRounds = 5;
/** With a best ratio of at most this after the first rounds, the request most likely ends in time. */
const acceptableRatio = lastSlotSlowness * 1.03;

/** Upstreams probed in one round, at the same time unless their answers come fast. */
const probesPerRound = 2;

/**
 * Returns how many upstreams to probe at the same time next. Those of the first round are probed one after the other if that costs little
 * time, because one that is lightly loaded is enough.
 *
 * @param probes - number of probes so far
 * @param isNear - whether the next upstream is in the own availability zone
 */
export function nextProbes(probes: number, isNear: boolean): number {
	return probes < probesPerRound && isNear ? 1 : probesPerRound;
}

/** Returns the number of full rounds that a number of probes makes. */
export function probeRounds(probes: number): number {
	return Math.floor(probes / probesPerRound);
}

export type ProbeRounds = {
	/** Number of full probe rounds so far; see {@link probeRounds}. */
	readonly rounds: number;
	/** Whether a probed upstream is lightly loaded: it runs at its usual speed with a slot to spare. */
	readonly isLightlyLoaded: boolean;
	/** Ratio of the least expected duration at any upstream to the work at an idle upstream of usual speed. */
	readonly bestRatio: number;
};

/**
 * Looks for a lightly loaded upstream for two rounds, and for a last slot at usual speed for up to three more. Compared with looking
 * for light load in all rounds, fewer requests are late and fewer health checks are sent.
 */
export function shouldProbe({rounds, isLightlyLoaded, bestRatio}: ProbeRounds): boolean {
	if (isLightlyLoaded || rounds >= maximumRounds) {
		return false;
	}

	return rounds < roundsForLightLoad || bestRatio > acceptableRatio;
}
