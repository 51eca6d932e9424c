/** Decides when an instance reads the store itself and when it relies on other instances, as each call to the store is paid for. */

/**
 * Time after its start for which an instance waits for others to hand over the state that it lacks. An instance that is a seed
 * itself, or has no seeds, doesn't wait if no other instance is known to have the state: after a total power loss, callers wait
 * as long as it does.
 */
const handOverMs = 250;
/**
 * Time after its start for which an instance that is not a seed waits for a message from one. The seeds read at once and hand over what
 * they read, so that not every instance makes three calls at its start. A running seed answers within some milliseconds. The
 * wait is short because the seeds may also start last, and callers wait meanwhile.
 */
const firstContactMs = 30;
/** Random spread of the end of that wait over the instances, so that the first ones to read can hand over the state to the others. */
const firstContactSpreadMs = 100;
/** The same wait at the first start of the whole fleet: no caller waits yet, and instances come up within some hundred milliseconds. */
const firstStartContactMs = 1500;
/**
 * Time after the start in which no instance follows the store. Before that, each of many instances that start at once may
 * consider itself the follower, and the store would hold its first read.
 */
const settleMs = 600;
/**
 * Age of the state at which the follower's standby reads the store. The store holds the follower's reads for 700 ms and the
 * follower's heartbeats come every 300 ms, so the state is older only if the follower is gone or a heartbeat was lost.
 */
const standbyStaleAfterMs = 1100;
/**
 * Age of the state at which the first readers of each availability zone read the store as well. That leaves time for a read
 * and a retry well within 2 s, and is later than the standby's read, which is mostly enough for all.
 */
const firstReadersStaleAfterMs = 1250;
/** Number of first readers of an availability zone. Each zone has its own as it may be cut off; all of them are hardly ever gone at once. */
const firstReadersPerZone = 4;
/**
 * Age of the state at which all other instances read the store as well. If no first reader reaches the store, it is most likely
 * down and further calls are useless.
 */
const otherReadersStaleAfterMs = 6000;
const otherReadersSpreadMs = 6000;
/** Pause after a failed call; it doubles with each further failure up to a maximum. */
const firstRetryMs = 150;
const maximumRetryMs = 1500;
/** Pause of the other readers after a failed call. The first readers retry often enough for all and pass on at once what they read. */
const otherReadersRetryMs = 6000;
/** Spread of the first readers' reads over time, so that the first one to read can pass on the state to the others. */
const firstReadersSpreadMs = 200;
/** Poll interval of an instance that has no state yet, and the minimum interval of all others. */
const minimumPollMs = 10;

export type ReadSituation = {
	/** The instance reads on behalf of all. */
	readonly isFollower: boolean;
	/** It becomes the follower if the current one is gone. */
	readonly isStandby: boolean;
	/** Number of live instances of its availability zone that precede it in the order of readers; 0 if it hears from no other instance. */
	readonly readersAheadInZone: number;
	/** It knows the state, from the store or another instance; an empty store counts as known too. */
	readonly isKnown: boolean;
	/** Another instance that was heard has the state. */
	readonly isKnownToOthers: boolean;
	/** Its settings contain seeds, and it is not one of them. */
	readonly hasSeeds: boolean;
	/** The whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	readonly sinceStartMs: number;
	/** Time since the store last confirmed the known state, directly or through others. */
	readonly ageMs: number;
	/** Position of this instance in the random spread, in [0, 1). */
	readonly spread: number;
};

export type ReadMode =
	/** No read for now. */
	| 'wait'
	/** One read that the store answers at once. */
	| 'once'
	/** Reads that the store holds until there is something new (long polling). */
	| 'follow';

/** Chooses how an instance next reads one topic of the store. */
export function chooseReadMode(situation: ReadSituation): ReadMode {
	const {isFollower, isKnown, sinceStartMs, ageMs} = situation;
	if (!isKnown) {
		return sinceStartMs < startWaitMs(situation) ? 'wait' : 'once';
	}

	if (isFollower && sinceStartMs >= settleMs) {
		return 'follow';
	}

	return ageMs < currentStaleAfterMs(situation) ? 'wait' : 'once';
}

/**
 * Time after which the read mode has to be chosen again after `wait`. It can't change earlier, as the known state can only become fresher
 * meanwhile, and an instance that becomes the follower is woken. Polling two topics every 100 ms instead would wake an idle
 * instance 20 times a second.
 */
export function nextPollMs(situation: ReadSituation): number {
	const {isFollower, isKnown, sinceStartMs, ageMs} = situation;
	if (!isKnown) {
		return minimumPollMs;
	}

	const untilStaleMs = currentStaleAfterMs(situation) - ageMs;
	return Math.max(minimumPollMs, isFollower ? Math.min(untilStaleMs, settleMs - sinceStartMs) : untilStaleMs);
}

/**
 * Pause before the next call after a failed one.
 *
 * @param failures - number of consecutive failed calls before the last one
 */
export function retryPauseMs(situation: ReadSituation, failures: number): number {
	return isFirstReader(situation) || !situation.isKnown
		? Math.min(maximumRetryMs, firstRetryMs * (2 ** failures))
		: otherReadersRetryMs;
}

/** Time after its start for which an instance waits for others to hand over the state. */
function startWaitMs({isKnownToOthers, hasSeeds, isFirstStart, spread}: ReadSituation): number {
	const contactMs = (isFirstStart ? firstStartContactMs : firstContactMs) + (spread * firstContactSpreadMs);
	if (hasSeeds) {
		return isKnownToOthers ? contactMs + handOverMs : contactMs;
	}

	return isKnownToOthers ? handOverMs : 0;
}

/** Age of the known state at which this instance reads the store again. */
function currentStaleAfterMs(situation: ReadSituation): number {
	const {isFollower, isStandby, spread} = situation;
	if (isFollower || isStandby) {
		return standbyStaleAfterMs;
	}

	return isFirstReader(situation)
		? firstReadersStaleAfterMs + (spread * firstReadersSpreadMs)
		: otherReadersStaleAfterMs + (spread * otherReadersSpreadMs);
}

function isFirstReader({isFollower, isStandby, readersAheadInZone}: ReadSituation): boolean {
	return isFollower || isStandby || readersAheadInZone < firstReadersPerZone;
}
