/** Estimates the work of a route's requests: their processing time at an upstream of usual speed. */

/** Weight of a new measurement in the moving average, which covers about the last twenty answers. */
const learningRate = 0.05;
/** Share of the target latency that is used as the estimate before the first measurement. */
const initialRatio = 0.4;
/** Bounds a measurement to this factor around the mean, so that an outlier moves the mean only a little. */
const maximumStep = 3;
/** Upper bound where the upstream's slowness is unknown: a long duration is then more likely due to the upstream than to the work. */
const maximumUnknownStep = 1.5;

/** Moving averages by route. */
export class WorkEstimates {
	readonly #meanMs = new Map<string, number>();

	/** Returns the expected work of a request. It is capped at the target latency, which always allows for the work. */
	expectedMs(routeId: string, targetLatencyMs: number): number {
		return Math.min(this.#meanMs.get(routeId) ?? targetLatencyMs * initialRatio, targetLatencyMs);
	}

	/**
	 * Updates the estimate from one answer.
	 *
	 * @param durationMs - time from send to answer
	 * @param durationRatio - ratio of the expected duration to the work when the request was sent, from the load that the upstream
	 * reported: its speed, a last slot taken, a wait for a slot. Without the factor for the last slot, work would be overestimated
	 * at upstreams with one slot.
	 */
	update(routeId: string, durationMs: number, durationRatio: number | undefined): void {
		const workMs = durationMs / Math.max(1, durationRatio ?? 1);
		const meanMs = this.#meanMs.get(routeId);
		if (meanMs === undefined) {
			this.#meanMs.set(routeId, workMs);
			return;
		}

		const maximumMs = meanMs * (durationRatio === undefined ? maximumUnknownStep : maximumStep);
		const bounded = Math.min(Math.max(workMs, meanMs / maximumStep), maximumMs);
		this.#meanMs.set(routeId, meanMs + ((bounded - meanMs) * learningRate));
	}
}
