/** Computes when the hedge of a request may start. */
import type {RequestClass} from '../model/request-class.js';
import type {LatencyQuantiles} from './latency-quantiles.js';

/**
 * Returns the delay of a hedge after the start of the first attempt.
 * @param hedging Hedging rule of the request class.
 * @param latencies Latencies of recent answers of the class.
 * @returns Milliseconds, or `undefined` where the class has no hedging or there are too few answers.
 */
export function hedgeDelayMs(hedging: RequestClass['hedging'], latencies: LatencyQuantiles): number | undefined {
	if (hedging === undefined) {
		return undefined;
	}

	const quantileMs = latencies.quantileMs(hedging.quantile);
	return quantileMs === undefined ? undefined : Math.max(hedging.minimumDelayMs, quantileMs);
}
