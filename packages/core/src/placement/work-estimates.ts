/** How long requests of a route work at an upstream that runs as usual. */

/** Share of a new measurement in the running mean: about the last twenty answers count. */
const learningRate = 0.05;
/** Part of the target latency that work is taken for before anything is measured. */
const firstGuessRatio = 0.4;
/** A request whose work is outside the usual must not move the mean by more than this factor at once. */
const maximumStep = 3;
/** Where the upstream's slowness is unknown, what took long says more of the upstream than of the work. */
const maximumUnknownStep = 1.5;

/** Running means by route. */
export class WorkEstimates {
	readonly #meanMs = new Map<string, number>();

	/** Expected work of a request at an upstream of usual speed; a target latency leaves room for the work at least. */
	expectedMs(routeId: string, targetLatencyMs: number): number {
		return Math.min(this.#meanMs.get(routeId) ?? targetLatencyMs * firstGuessRatio, targetLatencyMs);
	}

	/**
	 * Learns from one answer.
	 *
	 * @param tookMs - from send to answer
	 * @param durationRatio - expected time against the work as the request was sent, by the load that the upstream told:
	 * its speed, a last slot taken, a wait. Without the last slot, work would count too high at upstreams of one slot.
	 */
	learn(routeId: string, tookMs: number, durationRatio: number | undefined): void {
		const workMs = tookMs / Math.max(1, durationRatio ?? 1);
		const meanMs = this.#meanMs.get(routeId);
		if (meanMs === undefined) {
			this.#meanMs.set(routeId, workMs);
			return;
		}

		const greatestMs = meanMs * (durationRatio === undefined ? maximumUnknownStep : maximumStep);
		const bounded = Math.min(Math.max(workMs, meanMs / maximumStep), greatestMs);
		this.#meanMs.set(routeId, meanMs + ((bounded - meanMs) * learningRate));
	}
}
