/** Measures, for each service, the mean ratio of the expected durations at the upstreams that were probed for their load to the work at usual speed. */
import type {ServiceId} from '../model/ids.js';

/** The mean covers about the last twenty upstreams probed: at five per request, some seconds of an instance's own traffic. */
const learningRate = 0.1;
/** Ratio before any probe: assumes that a quarter of the upstreams are several times slower than usual and most have a slot to spare. */
const initialRatio = 1.6;

/**
 * Estimates for upstreams without a load report. The ratio is measured by probes, because a fixed one would send the requests of a burst
 * to upstreams without a report, which then look better than all that were probed.
 */
export class TypicalDurations {
	readonly #ratios = new Map<ServiceId, number>();

	/** Returns the ratio of the expected duration to the work at an idle upstream of usual speed. */
	ratioOf(service: ServiceId): number {
		return this.#ratios.get(service) ?? initialRatio;
	}

	/** @param ratio - of an upstream that has just reported its load */
	record(service: ServiceId, ratio: number): void {
		const known = this.ratioOf(service);
		this.#ratios.set(service, known + ((ratio - known) * learningRate));
	}
}
