/** An upstream in simulated time: slots, a queue, and a speed that changes twice a second. */
import {createRandomSource} from '@cairnbank/core/random';
import {lastSlotSlowness, type LoadReport} from '@cairnbank/core/placement';

/** Neighbours on its machine change their load this often. */
export const swingMs = 500;
/** Part of the upstreams that are slow at any moment, and how much slower. */
const slowShare = 1 / 3;
const swingSlowness = 7;
/** Far apart in the sequence of the random source, so that upstreams don't swing together. */
const seedStep = 7919;

export class SimulatedUpstream {
	/** Time at which each slot is free. */
	readonly #freeAtMs: number[];
	readonly #ends: number[] = [];
	readonly #slowness: number[] = [];

	/** @param durationMs - of the whole simulation */
	constructor(seed: number, readonly slots: number, durationMs: number) {
		this.#freeAtMs = Array.from({length: slots}, () => 0);
		const random = createRandomSource(seed * seedStep);
		for (let atMs = 0; atMs <= durationMs; atMs += swingMs) {
			this.#slowness.push(random.next() < slowShare ? swingSlowness : 1);
		}
	}

	/** Takes a request; it waits for a slot and then runs at the speed of that moment. @returns its end */
	run(nowMs: number, workMs: number): number {
		const slot = this.#freeAtMs.indexOf(Math.min(...this.#freeAtMs));
		const startMs = Math.max(nowMs, this.#freeAtMs[slot]!);
		const busy = this.#freeAtMs.filter(atMs => atMs > startMs).length;
		const slowdown = busy + 1 >= this.slots ? lastSlotSlowness : 1;
		const endMs = startMs + (workMs * this.#slownessAt(startMs) * slowdown);
		this.#freeAtMs[slot] = endMs;
		this.#ends.push(endMs);
		return endMs;
	}

	/** What it tells of its load. */
	report(nowMs: number): LoadReport {
		const present = this.#ends.filter(endMs => endMs > nowMs).length;
		const running = Math.min(present, this.slots);
		return {
			running, waiting: present - running, slots: this.slots, slowness: this.#slownessAt(nowMs),
		};
	}

	#slownessAt(atMs: number): number {
		return this.#slowness[Math.min(Math.floor(atMs / swingMs), this.#slowness.length - 1)]!;
	}
}
