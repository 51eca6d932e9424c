/** Generates seeded service times of an upstream, multiplied for stragglers and during cold starts. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import type {UpstreamFaults, UpstreamFaultsPatch} from './upstream-faults.js';

/** Half of the mean service time is fixed, the other half is exponentially distributed. */
export class ServiceTimes {
	readonly #meanMs: number;
	readonly #random: RandomSource;
	#coldStartAtMs = 0;

	constructor(meanMs: number, seed: number) {
		this.#meanMs = meanMs;
		this.#random = createRandomSource(seed);
	}

	/** Restarts the cold start if the patch sets one: it counts from this moment. */
	applyPatch(patch: UpstreamFaultsPatch, nowMs: number): void {
		if (patch.coldStart) {
			this.#coldStartAtMs = nowMs;
		}
	}

	/** Returns the duration of work that starts at `nowMs`; `requestedMs` replaces the seeded time. */
	next(requestedMs: number | undefined, faults: UpstreamFaults, nowMs: number): number {
		return (requestedMs ?? this.#sampleMs()) * this.#factor(faults, nowMs);
	}

	#sampleMs(): number {
		return this.#meanMs * (0.5 - (0.5 * Math.log(1 - this.#random.next())));
	}

	#factor({coldStart, serviceFactor}: UpstreamFaults, nowMs: number): number {
		const warmupRatio = coldStart ? Math.min(1, (nowMs - this.#coldStartAtMs) / Math.max(1, coldStart.durationMs)) : 1;
		const coldFactor = coldStart ? 1 + ((coldStart.factor - 1) * (1 - warmupRatio)) : 1;
		return serviceFactor * coldFactor;
	}
}
