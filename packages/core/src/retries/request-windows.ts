/** Counts the requests for one service in sliding windows, in the way that the fleet's bound on retries counts them. */

/** Number of steps into which a window is divided to look at the counts of later windows. */
const windowSteps = 20;

/** Returns the first index whose time is later than `atMs`, by binary search. */
function indexAfter(timesMs: readonly number[], atMs: number): number {
	let low = 0;
	let high = timesMs.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (timesMs[middle]! > atMs) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
}

export class RequestWindows {
	/** Times of the requests in the last two windows, in ascending order. */
	readonly #timesMs: number[] = [];

	record(nowMs: number, windowMs: number): void {
		this.#timesMs.push(nowMs);
		this.#timesMs.splice(0, indexAfter(this.#timesMs, nowMs - (2 * windowMs)));
	}

	/**
	 * Returns the number of requests that a retry sent now can count on, in whichever window it is checked. Windows that contain the
	 * retry end at any time up to one window length from now. The bound uses the requests of such a window, of the window before it or
	 * of the one half a window before, whichever has most, so the result is the least of these over all such windows. It is also capped
	 * by the requests of the window before the current one, because callers may have moved here from another instance that has already
	 * granted retries for their requests.
	 */
	guaranteedCount(nowMs: number, windowMs: number): number {
		let least = this.#count(nowMs - (2 * windowMs), nowMs - windowMs);
		for (let step = 0; step <= windowSteps; step += 1) {
			const endMs = nowMs + (windowMs * step / windowSteps);
			least = Math.min(least, this.#maximumCount(endMs, windowMs));
		}

		return least;
	}

	#maximumCount(endMs: number, windowMs: number): number {
		const counts = [0, windowMs / 2, windowMs].map(earlierMs => this.#count(endMs - earlierMs - windowMs, endMs - earlierMs));
		return Math.max(...counts);
	}

	#count(afterMs: number, untilMs: number): number {
		return indexAfter(this.#timesMs, untilMs) - indexAfter(this.#timesMs, afterMs);
	}
}
