/** How long an upstream works on a request: seeded, and longer for stragglers, cold starts and busy neighbours. */
import {createRandomSource, type RandomSource} from '@cairnbank/core';
import {SwingSchedule} from './swing-schedule.js';
import type {UpstreamFaults, UpstreamFaultsPatch} from './upstream-faults.js';

/** Half of the mean is fixed, half exponential. */
export class ServiceTimes {
	readonly #meanMs: number;
	readonly #random: RandomSource;
	#swing?: SwingSchedule;
	#coldSinceMs = 0;

	constructor(meanMs: number, seed: number) {
		this.#meanMs = meanMs;
		this.#random = createRandomSource(seed);
	}

	/** Restarts the schedules that the patch names. */
	change(patch: UpstreamFaultsPatch, faults: UpstreamFaults, nowMs: number): void {
		if ('swing' in patch) {
			this.#swing = faults.swing && new SwingSchedule(faults.swing, nowMs);
		}

		if (patch.coldStart) {
			this.#coldSinceMs = nowMs;
		}
	}

	/** Duration of work that begins at `nowMs`; `givenMs` goes before the seeded time. */
	next(givenMs: number | undefined, faults: UpstreamFaults, nowMs: number): number {
		return (givenMs ?? this.#drawMs()) * this.#factor(faults, nowMs);
	}

	#drawMs(): number {
		return this.#meanMs * (0.5 - (0.5 * Math.log(1 - this.#random.next())));
	}

	#factor({coldStart, serviceFactor}: UpstreamFaults, nowMs: number): number {
		const warmth = coldStart ? Math.min(1, (nowMs - this.#coldSinceMs) / Math.max(1, coldStart.durationMs)) : 1;
		const coldFactor = coldStart ? 1 + ((coldStart.factor - 1) * (1 - warmth)) : 1;
		return serviceFactor * coldFactor * (this.#swing?.factorAt(nowMs) ?? 1);
	}
}
