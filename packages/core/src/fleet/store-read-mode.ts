/** When an instance reads the store itself, and when it relies on what others tell: each call to the store is paid for. */

/**
 * Time after the start within which others that know what is sought hand it over. An instance that was told of no other
 * one reads at once where nobody is known to know it: after a loss of all power callers wait for whatever it waits for.
 */
const handOverMs = 250;
/**
 * Time after the start in which an instance that was told of others waits for one of them to be heard. Those others read
 * at once and hand on what they read, so that not each one makes three calls at its start. One that is up answers within
 * some milliseconds; those named may also come up last, and callers wait meanwhile.
 */
const firstContactMs = 30;
/** Spread of the end of that wait, so that those that read first can hand it on. */
const firstContactSpreadMs = 100;
/** After the first start of the whole fleet no caller waits yet, and instances come up within some hundred milliseconds. */
const firstStartContactMs = 1500;
/**
 * Time after the start in which nobody follows the store: until then each of many that start at one moment may hold
 * itself for the follower, and its first read would be held by the store.
 */
const settleMs = 600;
/**
 * Age of what others told at which the deputy of the follower reads. The follower's reads are held for 700 ms and its
 * heartbeats come every 300 ms, so it is older only where the follower is gone, or a heartbeat was lost.
 */
const deputyStaleAfterMs = 1100;
/**
 * Age at which the first of each availability zone read as well, with a read and its retry well within 2 s, and later than
 * the deputy, who mostly reads in time for all.
 */
const staleAfterMs = 1250;
/** Readers of an availability zone that are the first: all of them are gone at once next to never, and the zone may be cut off. */
const firstReadersOfZone = 4;
/**
 * Age at which all others read as well. Where none of the first ones reaches the store, it is most likely down, and each call
 * is for nothing.
 */
const lastReadersAfterMs = 6000;
const lastReadersSpreadMs = 6000;
/** Pause after a failed call; doubles with each further one up to a bound. */
const firstRetryMs = 150;
const maximumRetryMs = 1500;
/** The first readers try often enough for all: what they find they tell at once. */
const lastReadersRetryMs = 6000;
/** Spread of that moment over the instances, so that the first to read can tell the others. */
const staleSpreadMs = 200;
/** How often an instance that knows nothing yet looks for others; the least pause between two looks. */
const firstPollMs = 10;

export type ReadSituation = {
	/** It reads on behalf of all. */
	readonly isFollower: boolean;
	/** It would be the follower if that one were gone. */
	readonly isDeputy: boolean;
	/** Live instances of its availability zone that come before it in the order of readers; 0 where it hears nobody. */
	readonly readersAheadInZone: number;
	/** Something is known, through whomever; that the store holds nothing yet is known as well. */
	readonly isKnown: boolean;
	/** Another instance that was heard knows what is sought. */
	readonly isKnownToOthers: boolean;
	/** Others were named to it before the start, and it was not named to them. */
	readonly hasSeeds: boolean;
	/** The whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	readonly sinceStartMs: number;
	/** Age of what is known. */
	readonly ageMs: number;
	/** Place of this instance in the spread, in [0, 1). */
	readonly spread: number;
};

export type ReadMode =
	/** Nothing for now. */
	| 'wait'
	/** One read, which the store need not hold. */
	| 'once'
	/** Reads that the store holds until there is something new. */
	| 'follow';

/** What an instance does next about one topic of the store. */
export function chooseReadMode(situation: ReadSituation): ReadMode {
	const {isFollower, isKnown, sinceStartMs, ageMs} = situation;
	if (!isKnown) {
		return sinceStartMs < longestWaitMs(situation) ? 'wait' : 'once';
	}

	if (isFollower && sinceStartMs >= settleMs) {
		return 'follow';
	}

	return ageMs < staleMs(situation) ? 'wait' : 'once';
}

/**
 * How long nothing need be looked at where the choice is to wait: what is known can only become fresher meanwhile. An
 * instance that becomes the follower is woken. Looking every 100 ms, for two topics, wakes an idle instance 20 times a second.
 */
export function nextPollMs(situation: ReadSituation): number {
	const {isFollower, isKnown, sinceStartMs, ageMs} = situation;
	if (!isKnown) {
		return firstPollMs;
	}

	const untilStaleMs = staleMs(situation) - ageMs;
	return Math.max(firstPollMs, isFollower ? Math.min(untilStaleMs, settleMs - sinceStartMs) : untilStaleMs);
}

/** @param failures - calls that failed in a row before the last one */
export function retryPauseMs(situation: ReadSituation, failures: number): number {
	return isFirstReader(situation) || !situation.isKnown
		? Math.min(maximumRetryMs, firstRetryMs * (2 ** failures))
		: lastReadersRetryMs;
}

/** After its start, until it knows what it looks for. */
function longestWaitMs({isKnownToOthers, hasSeeds, isFirstStart, spread}: ReadSituation): number {
	const contactMs = (isFirstStart ? firstStartContactMs : firstContactMs) + (spread * firstContactSpreadMs);
	if (hasSeeds) {
		return isKnownToOthers ? contactMs + handOverMs : contactMs;
	}

	return isKnownToOthers ? handOverMs : 0;
}

/** Age at which what is known is read once more. */
function staleMs(situation: ReadSituation): number {
	const {isFollower, isDeputy, spread} = situation;
	if (isFollower || isDeputy) {
		return deputyStaleAfterMs;
	}

	return isFirstReader(situation)
		? staleAfterMs + (spread * staleSpreadMs)
		: lastReadersAfterMs + (spread * lastReadersSpreadMs);
}

function isFirstReader({isFollower, isDeputy, readersAheadInZone}: ReadSituation): boolean {
	return isFollower || isDeputy || readersAheadInZone < firstReadersOfZone;
}
