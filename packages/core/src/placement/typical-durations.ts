/** How long work usually takes at the upstreams of a service that are asked for their load, against the usual. */
import type {ServiceId} from '../model/ids.js';

/** About the last twenty upstreams asked count, at five a request some seconds of an instance's own traffic. */
const learningRate = 0.1;
/** Before any was asked: a quarter of them several times slower than usual, and most with a slot to spare. */
const firstRatio = 1.6;

/**
 * What an upstream of which nothing is known must be taken for. A fixed figure sends the requests of a burst to upstreams
 * without a report, as these then look better than all that were asked; so it is learnt from what asking finds.
 */
export class TypicalDurations {
	readonly #ratios = new Map<ServiceId, number>();

	/** Expected time against the time that work takes at an idle upstream of usual speed. */
	ratioOf(service: ServiceId): number {
		return this.#ratios.get(service) ?? firstRatio;
	}

	/** @param ratio - of an upstream that has just told its load */
	record(service: ServiceId, ratio: number): void {
		const known = this.ratioOf(service);
		this.#ratios.set(service, known + ((ratio - known) * learningRate));
	}
}
