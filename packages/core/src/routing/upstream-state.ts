/** All that one instance knows of one upstream. Counts are exact, the rest is aged evidence. */
import type {Upstream} from '../model/upstream.js';
import {AdaptiveLimit} from '../limits/adaptive-limit.js';
import {ExponentialMovingAverage} from './exponential-moving-average.js';
import {Slowness} from './slowness.js';

const latencySampleWeight = 0.2;
const avoidedHalfLifeMs = 30_000;

export class UpstreamState {
	isDraining = false;
	/** When it began to take work anew; absent for those known since the start. */
	slowStartFromMs: number | undefined;
	/** No work until then. */
	ejectedUntilMs = 0;
	consecutiveFailures = 0;
	consecutiveEjections = 0;
	/** Requests of others at the time of the last report. */
	othersInFlight = 0;
	reportAtMs = Number.NEGATIVE_INFINITY;
	/** Time to a whole answer; a failure or a refusal counts as slow, however fast it came. */
	readonly latencyMs = new ExponentialMovingAverage(latencySampleWeight);
	readonly slowness = new Slowness();
	readonly limit: AdaptiveLimit;
	/** In the order of sending. */
	readonly #sentAtMs: number[] = [];

	constructor(public upstream: Upstream, connectionShare: number) {
		this.limit = new AdaptiveLimit(upstream.slots, connectionShare);
	}

	/** Requests of this instance that the upstream holds. */
	get inFlight(): number {
		return this.#sentAtMs.length;
	}

	/** When the oldest of them was sent. */
	get oldestSentAtMs(): number | undefined {
		return this.#sentAtMs[0];
	}

	/** Whether calls pass it by: ejected, or slow. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.ejectedUntilMs || this.slowness.factorAt(nowMs, avoidedHalfLifeMs) > 1;
	}

	onSent(nowMs: number): void {
		this.#sentAtMs.push(nowMs);
	}

	onEnded(sentAtMs: number): void {
		const index = this.#sentAtMs.indexOf(sentAtMs);
		if (index !== -1) {
			this.#sentAtMs.splice(index, 1);
		}
	}

	/** Takes in the time to an answer, or what a failure counts as. */
	onLatency(latencyMs: number, serviceAverageMs: number, nowMs: number): void {
		this.latencyMs.add(latencyMs);
		this.slowness.add(latencyMs, serviceAverageMs, nowMs);
	}

	/** Takes in a report; the count of others leaves out this instance's own requests. */
	onReport(inFlight: number, nowMs: number): void {
		this.othersInFlight = Math.max(0, inFlight - this.inFlight);
		this.reportAtMs = nowMs;
	}

	/** Whether it may take new work at all. */
	isAvailable(nowMs: number): boolean {
		return !this.isDraining && nowMs >= this.ejectedUntilMs;
	}
}
