/** How long an upstream works on a request: seeded, and longer for stragglers and cold starts. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {UpstreamFaults, UpstreamFaultsPatch} from './upstream-faults.js';

/** Half of the mean is fixed, half exponential. */
export class ServiceTimes {
	readonly #meanMs: number;
	readonly #random: RandomSource;
	#coldStartAtMs = 0;

	constructor(meanMs: number, seed: number) {
		this.#meanMs = meanMs;
		this.#random = createRandomSource(seed);
	}

	/** A cold start counts from the moment it is switched on. */
	applyPatch(patch: UpstreamFaultsPatch, nowMs: number): void {
		if (patch.coldStart) {
			this.#coldStartAtMs = nowMs;
		}
	}

	/** Duration of work that begins at `nowMs`; `givenMs` goes before the seeded time. */
	next(givenMs: number | undefined, faults: UpstreamFaults, nowMs: number): number {
		return (givenMs ?? this.#sampleMs()) * this.#factor(faults, nowMs);
	}

	#sampleMs(): number {
		return this.#meanMs * (0.5 - (0.5 * Math.log(1 - this.#random.next())));
	}

	#factor({coldStart, serviceFactor}: UpstreamFaults, nowMs: number): number {
		const warmth = coldStart ? Math.min(1, (nowMs - this.#coldStartAtMs) / Math.max(1, coldStart.durationMs)) : 1;
		const coldFactor = coldStart ? 1 + ((coldStart.factor - 1) * (1 - warmth)) : 1;
		return serviceFactor * coldFactor;
	}
}
