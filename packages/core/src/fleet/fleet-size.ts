/** Tracks how many instances the fleet has, from the instances that are seen here and from the reports of others. */
import type {Clock} from '../model/clock.js';

/** A fleet size that some instance has observed. Plain data. */
export type FleetSizeReport = {
	/** Number of instances that were alive at the same time; 0 if the size is not known. */
	readonly instances: number;
	/** Time since that observation. */
	readonly ageMs: number;
};

export const unknownFleetSize: FleetSizeReport = {instances: 0, ageMs: 0};

/** Time for which an observed size is kept. It is longer than a network partition should last, in which each part sees too few instances. */
const sizeRetentionMs = 3_600_000;

/** Keeps the greatest size of the last hour, so that a partition doesn't reduce it; a fleet that shrinks is detected with that delay. */
export class FleetSize {
	readonly #clock: Clock;
	#instances = 1;
	#observedAtMs: number;
	#isReported = false;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#observedAtMs = clock.monotonicMs();
	}

	/** The greatest size that is kept. */
	get greatest(): number {
		return this.#instances;
	}

	/** The greatest size with its age, as it is reported to other instances. */
	get latestReport(): FleetSizeReport {
		return {instances: this.#instances, ageMs: this.#clock.monotonicMs() - this.#observedAtMs};
	}

	/** Whether an instance that knew the fleet has reported its size. */
	get isReported(): boolean {
		return this.#isReported;
	}

	/** Records how many instances are alive now, including this one. */
	observe(instances: number): void {
		const nowMs = this.#clock.monotonicMs();
		if (instances >= this.#instances || nowMs - this.#observedAtMs > sizeRetentionMs) {
			this.#instances = instances;
			this.#observedAtMs = nowMs;
		}
	}

	/** Takes in a size that another instance reports. The age is kept. */
	receiveReport({instances, ageMs}: FleetSizeReport): void {
		const observedAtMs = this.#clock.monotonicMs() - ageMs;
		this.#isReported ||= instances > 0;
		const isNewer = instances === this.#instances && observedAtMs > this.#observedAtMs;
		if (ageMs <= sizeRetentionMs && (instances > this.#instances || isNewer)) {
			this.#instances = instances;
			this.#observedAtMs = observedAtMs;
		}
	}
}
