/** When an instance reads the store itself, and when it relies on what others tell: each call to the store is paid for. */

/**
 * Time after the start within which others that know what is sought hand it over. Where nobody is known to know it, it is
 * read at once: looking around for 30 ms first, and waiting for the follower, cost 0.05 of the worth of the two seconds
 * after all instances lost power (four seconds of two days).
 */
const handOverMs = 250;
/**
 * Time after the start in which nobody follows the store: until then each of many that start at one moment may hold
 * itself for the follower. 132 instances made 264 reads that the store held for 700 ms each.
 */
const settleMs = 600;
/**
 * Age of what others told at which the deputy of the follower reads. The follower's reads are held for 700 ms and its
 * heartbeats come every 300 ms, so it is older only where the follower is gone, or a heartbeat was lost.
 */
const deputyStaleAfterMs = 1100;
/**
 * Age at which all others read as well, with a read and its retry well within 2 s. Where they read at the deputy's
 * moment, the loss of a follower cost two calls by each instance, 264 at 132.
 */
const staleAfterMs = 1250;
/** Spread of that moment over the instances, so that the first to read can tell the others. */
const staleSpreadMs = 200;

export type ReadingSituation = {
	/** It reads on behalf of all. */
	readonly isFollower: boolean;
	/** It would be the follower if that one were gone. */
	readonly isDeputy: boolean;
	/** Something is known, through whomever; that the store holds nothing yet is known as well. */
	readonly isKnown: boolean;
	/** Another instance that was heard knows what is sought. */
	readonly isKnownToOthers: boolean;
	readonly sinceStartMs: number;
	/** Age of what is known. */
	readonly ageMs: number;
	/** Place of this instance in the spread, in [0, 1). */
	readonly spread: number;
};

export type Reading =
	/** Nothing for now. */
	| 'wait'
	/** One read, which the store need not hold. */
	| 'once'
	/** Reads that the store holds until there is something new. */
	| 'follow';

/** What an instance does next about one topic of the store. */
export function chooseReading({isFollower, isDeputy, isKnown, isKnownToOthers, sinceStartMs, ageMs, spread}: ReadingSituation): Reading {
	if (!isKnown) {
		return isKnownToOthers && sinceStartMs < handOverMs ? 'wait' : 'once';
	}

	if (isFollower && sinceStartMs >= settleMs) {
		return 'follow';
	}

	const staleMs = isFollower || isDeputy ? deputyStaleAfterMs : staleAfterMs + (spread * staleSpreadMs);
	return ageMs < staleMs ? 'wait' : 'once';
}
