/**
 * Estimates how long the caller of a request has waited already. A returning caller tells a deadline that is closer than the one that
 * first attempts of its route tell. Where callers of one route tell different deadlines, nothing is concluded from them.
 */

/** The longest time granted is forgotten slowly, as configurations change it rarely. */
const forgettingRatio = 0.001;
/** Weight of one request in the share of those that tell the usual deadline. */
const learningRate = 0.02;
/** Least share of the requests that tell the usual deadline while the service isn't overloaded; only then a closer one means a return. */
const minimumUsualShare = 0.8;
/** Weight of one request in the share of those that tell a longer deadline than is known. */
const longerLearningRate = 0.05;
/** Least share of such requests from which on theirs is the usual deadline; below it they are a few odd callers. */
const minimumLongerShare = 0.2;
/** Time that a request spends on its way, and the rounding of deadlines. */
const toleranceMs = 20;

type Granted = {
	/** Longest time from arrival to deadline. */
	readonly longestMs: number;
	/** Share of the requests outside of overloads that were granted about as much. */
	readonly usualShare: number;
	/** Share of the recent requests that were granted longer still, and the least that these were granted. */
	readonly longer: {readonly share: number; readonly leastMs: number};
};

const noneLonger = {share: 0, leastMs: Number.POSITIVE_INFINITY} as const;

export type DeadlineTimes = {
	readonly route: {readonly id: string};
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
};

export class WaitedTimes {
	readonly #byRoute = new Map<string, Granted>();

	/** @param isOverloaded - during an overload many callers return, so nothing else is learnt then than a longer deadline that many tell */
	recordArrival({route, receivedAtMs, deadlineAtMs}: DeadlineTimes, isOverloaded: boolean): void {
		const grantedMs = deadlineAtMs - receivedAtMs;
		const known = this.#byRoute.get(route.id) ?? {longestMs: grantedMs, usualShare: 1, longer: noneLonger};
		const isUsual = grantedMs > known.longestMs - toleranceMs;
		const granted = withLongest(known, grantedMs, isOverloaded);
		const usualShare = granted.usualShare + (((isUsual ? 1 : 0) - granted.usualShare) * learningRate);
		this.#byRoute.set(route.id, isOverloaded ? granted : {...granted, usualShare});
	}

	/** Returns the time that the caller had waited when the request arrived; 0 for a first attempt and where that isn't known. */
	waitedMs({route, receivedAtMs, deadlineAtMs}: DeadlineTimes): number {
		const granted = this.#byRoute.get(route.id);
		if (granted === undefined || granted.usualShare < minimumUsualShare) {
			return 0;
		}

		const waitedMs = granted.longestMs - (deadlineAtMs - receivedAtMs);
		return waitedMs > toleranceMs ? waitedMs : 0;
	}
}

/** Raises the longest time granted once many were granted longer; forgets it slowly, and only outside of overloads. */
function withLongest({longestMs, usualShare, longer}: Granted, grantedMs: number, isOverloaded: boolean): Granted {
	const isLonger = grantedMs > longestMs + toleranceMs;
	const share = longer.share + (((isLonger ? 1 : 0) - longer.share) * longerLearningRate);
	const leastMs = isLonger ? Math.min(longer.leastMs, grantedMs) : longer.leastMs;
	if (share >= minimumLongerShare) {
		return {longestMs: leastMs, usualShare, longer: noneLonger};
	}

	const forgottenMs = isOverloaded ? 0 : Math.max(0, longestMs - grantedMs) * forgettingRatio;
	return {longestMs: longestMs - forgottenMs, usualShare, longer: {share, leastMs}};
}
