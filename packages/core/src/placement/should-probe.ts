/** Whether more upstreams are probed for their load before a request is placed. */
import {lastSlotSlowness} from './expected-duration.js';

/** At least this many rounds look for an upstream lightly loaded: a request that takes a last slot lasts longer. */
const roundsForLightLoad = 2;
/** After these the best that was found is taken: each round costs time and health checks. */
const maximumRounds = 5;
/** Where at most this was found after the first rounds, the request most likely ends in time. */
const goodRatio = lastSlotSlowness * 1.03;

export type ProbeRounds = {
	/** Rounds of probes so far. */
	readonly rounds: number;
	/** One of those probed runs at its usual speed with a slot to spare. */
	readonly isLightlyLoaded: boolean;
	/** Least expected time of all upstreams against the work at an idle one of usual speed. */
	readonly bestRatio: number;
};

/**
 * Two rounds look for an upstream lightly loaded, three more for a last slot at usual speed: fewer requests are late, at fewer
 * checks, than where all rounds look for light load.
 */
export function shouldProbe({rounds, isLightlyLoaded, bestRatio}: ProbeRounds): boolean {
	if (isLightlyLoaded || rounds >= maximumRounds) {
		return false;
	}

	return rounds < roundsForLightLoad || bestRatio > goodRatio;
}
