/** Requests for one service, counted as the bound on its repeats counts them. */

/** Moments within a window at which a later count is looked at. */
const steps = 20;

/** First index whose time is later. */
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
	/** In their order, of the last two windows. */
	readonly #atMs: number[] = [];

	note(nowMs: number, windowMs: number): void {
		this.#atMs.push(nowMs);
		this.#atMs.splice(0, indexAfter(this.#atMs, nowMs - (2 * windowMs)));
	}

	/**
	 * Requests that back a repeat sent now in whichever window it is counted. A window that holds the repeat ends up to its
	 * length later; the requests in it, in the one before or in the one half a window before back it, whichever has most.
	 * Callers may have come from another instance, which has granted repeats from their requests: those of the window before
	 * this one bound what they back here.
	 */
	backing(nowMs: number, windowMs: number): number {
		let least = this.#count(nowMs - (2 * windowMs), nowMs - windowMs);
		for (let step = 0; step <= steps; step += 1) {
			const endMs = nowMs + (windowMs * step / steps);
			least = Math.min(least, this.#most(endMs, windowMs));
		}

		return least;
	}

	#most(endMs: number, windowMs: number): number {
		const counts = [0, windowMs / 2, windowMs].map(earlierMs => this.#count(endMs - earlierMs - windowMs, endMs - earlierMs));
		return Math.max(...counts);
	}

	#count(afterMs: number, untilMs: number): number {
		return indexAfter(this.#atMs, untilMs) - indexAfter(this.#atMs, afterMs);
	}
}
