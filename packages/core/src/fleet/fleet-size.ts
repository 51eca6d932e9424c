/** How many instances the fleet has, by what one instance has seen and by what others have reported to it. */
import type {Clock} from '../model/clock.js';

/** A size that some instance has seen; plain data. */
export type FleetSizeReport = {
	/** Instances that were alive at once; 0 where the size is not known. */
	readonly instances: number;
	/** Time since they were. */
	readonly ageMs: number;
};

export const unknownFleetSize: FleetSizeReport = {instances: 0, ageMs: 0};

/** Longer than any cut between parts of a fleet should last, during which each part sees too few instances. */
const memoryMs = 3_600_000;

/** The greatest size within the memory: a cut never makes it smaller, and a fleet that shrinks is seen as it is later. */
export class FleetSize {
	readonly #clock: Clock;
	#instances = 1;
	#seenAtMs: number;
	#isReported = false;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#seenAtMs = clock.monotonicMs();
	}

	get greatest(): number {
		return this.#instances;
	}

	get latestReport(): FleetSizeReport {
		return {instances: this.#instances, ageMs: this.#clock.monotonicMs() - this.#seenAtMs};
	}

	/** Whether an instance that knew the fleet has reported its size. */
	get isReported(): boolean {
		return this.#isReported;
	}

	/** So many instances are alive now, this one among them. */
	observe(instances: number): void {
		const nowMs = this.#clock.monotonicMs();
		if (instances >= this.#instances || nowMs - this.#seenAtMs > memoryMs) {
			this.#instances = instances;
			this.#seenAtMs = nowMs;
		}
	}

	/** Another instance reports a size. */
	receiveReport({instances, ageMs}: FleetSizeReport): void {
		const seenAtMs = this.#clock.monotonicMs() - ageMs;
		this.#isReported ||= instances > 0;
		const isNewer = instances === this.#instances && seenAtMs > this.#seenAtMs;
		if (ageMs <= memoryMs && (instances > this.#instances || isNewer)) {
			this.#instances = instances;
			this.#seenAtMs = seenAtMs;
		}
	}
}
