/** Simulates an upstream with slots, a queue and a speed that changes twice a second. */
import {createRandomSource} from '@cairnbank/core/random';
import {lastSlotSlowness, type LoadReport} from '@cairnbank/core/placement';

/** How often the load of other processes on the upstream's machine changes. */
export const speedChangeIntervalMs = 500;
/** Ratio of upstreams that are slow at any moment, and the factor by which they are slower. */
const slowRatio = 1 / 3;
const slowFactor = 7;
/** Spreads the seeds of the random sources, so that the upstreams' speeds don't change together. */
const seedStep = 7919;

export class SimulatedUpstream {
	/** The time at which each slot becomes free. */
	readonly #slotFreeAtMs: number[];
	readonly #endTimesMs: number[] = [];
	readonly #slowness: number[] = [];

	/** @param durationMs - duration of the whole simulation */
	constructor(seed: number, readonly slots: number, durationMs: number) {
		this.#slotFreeAtMs = Array.from({length: slots}, () => 0);
		const random = createRandomSource(seed * seedStep);
		for (let atMs = 0; atMs <= durationMs; atMs += speedChangeIntervalMs) {
			this.#slowness.push(random.next() < slowRatio ? slowFactor : 1);
		}
	}

	/** Accepts a request, which waits for a slot and then runs at the speed of that moment. @returns the time at which it ends */
	run(nowMs: number, workMs: number): number {
		const slot = this.#slotFreeAtMs.indexOf(Math.min(...this.#slotFreeAtMs));
		const startMs = Math.max(nowMs, this.#slotFreeAtMs[slot]!);
		const busy = this.#slotFreeAtMs.filter(atMs => atMs > startMs).length;
		const slowdown = busy + 1 >= this.slots ? lastSlotSlowness : 1;
		const endMs = startMs + (workMs * this.#slownessAt(startMs) * slowdown);
		this.#slotFreeAtMs[slot] = endMs;
		this.#endTimesMs.push(endMs);
		return endMs;
	}

	/** Returns the load report that the upstream sends at this moment. */
	report(nowMs: number): LoadReport {
		const inFlight = this.#endTimesMs.filter(endMs => endMs > nowMs).length;
		const running = Math.min(inFlight, this.slots);
		return {
			running, waiting: inFlight - running, slots: this.slots, slowness: this.#slownessAt(nowMs),
		};
	}

	#slownessAt(atMs: number): number {
		return this.#slowness[Math.min(Math.floor(atMs / speedChangeIntervalMs), this.#slowness.length - 1)]!;
	}
}
