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
/** Time that a request spends on its way, and the rounding of deadlines. */
const toleranceMs = 20;

type Granted = {
	/** Longest time from arrival to deadline. */
	readonly longestMs: number;
	/** Share of the requests outside of overloads that were granted about as much. */
	readonly usualShare: number;
};

export type DeadlineTimes = {
	readonly route: {readonly id: string};
	readonly receivedAtMs: number;
	readonly deadlineAtMs: number;
};

export class WaitedTimes {
	readonly #byRoute = new Map<string, Granted>();

	/** @param isOverloaded - during an overload many callers return, so nothing but a longer deadline is learnt then */
	recordArrival({route, receivedAtMs, deadlineAtMs}: DeadlineTimes, isOverloaded: boolean): void {
		const grantedMs = deadlineAtMs - receivedAtMs;
		const {longestMs, usualShare} = this.#byRoute.get(route.id) ?? {longestMs: grantedMs, usualShare: 1};
		const isUsual = grantedMs > longestMs - toleranceMs;
		this.#byRoute.set(route.id, {
			longestMs: Math.max(grantedMs, isOverloaded ? longestMs : longestMs - ((longestMs - grantedMs) * forgettingRatio)),
			usualShare: isOverloaded ? usualShare : usualShare + (((isUsual ? 1 : 0) - usualShare) * learningRate),
		});
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
