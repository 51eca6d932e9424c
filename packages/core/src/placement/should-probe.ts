/** Decides whether to probe more upstreams for their load before a request is placed. */
import {lastSlotSlowness} from './expected-duration.js';

/** Least number of rounds that look for a lightly loaded upstream, because a request that takes a last slot runs longer. */
const roundsForLightLoad = 2;
/** After this many rounds the best upstream found is used, because each round costs time and health checks. */
const maximumRounds = 5;
/** With a best ratio of at most this after the first rounds, the request most likely ends in time. */
const acceptableRatio = lastSlotSlowness * 1.03;

export type ProbeRounds = {
	/** Number of probe rounds so far. */
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
