/** Requests for one service, counted as the bound on its repeats counts them. */

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

	/** Requests that back a repeat sent now. */
	backing(nowMs: number, windowMs: number): number {
		return this.#count(nowMs - windowMs, nowMs);
	}

	#count(afterMs: number, untilMs: number): number {
		return indexAfter(this.#atMs, untilMs) - indexAfter(this.#atMs, afterMs);
	}
}
