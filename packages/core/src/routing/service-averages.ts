/** Averages over a service's upstreams, used in place of missing or outdated data of one upstream. */
import {ExponentialMovingAverage} from './exponential-moving-average.js';

const latencySampleWeight = 0.02;
const loadSampleWeight = 0.05;
const initialLatencyMs = 10;

export class ServiceAverages {
	readonly #latencyMs = new ExponentialMovingAverage(latencySampleWeight);
	readonly #othersPerSlot = new ExponentialMovingAverage(loadSampleWeight);

	get latencyMs(): number {
		return this.#latencyMs.value ?? initialLatencyMs;
	}

	/** Average number of requests from other instances per slot. */
	get othersPerSlot(): number {
		return this.#othersPerSlot.value ?? 0;
	}

	addLatency(latencyMs: number): void {
		this.#latencyMs.add(latencyMs);
	}

	addOthersInFlight(othersInFlight: number, slots: number): void {
		this.#othersPerSlot.add(othersInFlight / slots);
	}
}
