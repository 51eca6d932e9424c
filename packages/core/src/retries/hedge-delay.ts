/** When a hedge of a class may start. */
import type {RequestClass} from '../model/request-class.js';
import type {LatencyQuantiles} from './latency-quantiles.js';

/**
 * Delay of a hedge after the start of the first attempt.
 * @param hedging The class's rule.
 * @param latencies Recent answers of the class.
 * @returns Milliseconds, or nothing where the class has no hedging or too few answers came.
 */
export function hedgeDelayMs(hedging: RequestClass['hedging'], latencies: LatencyQuantiles): number | undefined {
	if (hedging === undefined) {
		return undefined;
	}

	const quantileMs = latencies.quantileMs(hedging.quantile);
	return quantileMs === undefined ? undefined : Math.max(hedging.minimumDelayMs, quantileMs);
}
