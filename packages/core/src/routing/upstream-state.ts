/** State that one instance keeps of one upstream. The instance's own request counts are exact; the rest is estimated from earlier answers and reports. */
import type {Upstream} from '../model/upstream.js';
import {AdaptiveLimit} from '../limits/adaptive-limit.js';
import {ExponentialMovingAverage} from './exponential-moving-average.js';
import {Slowness} from './slowness.js';

const latencySampleWeight = 0.2;
const slownessHalfLifeMs = 30_000;

export class UpstreamState {
	isDraining = false;
	/** Start of the slow start; absent for upstreams that have been known since this instance started. */
	slowStartFromMs: number | undefined;
	/** The upstream gets no new requests until this time. */
	ejectedUntilMs = 0;
	consecutiveFailures = 0;
	consecutiveEjections = 0;
	/** Requests from other instances at the time of the last report. */
	othersInFlight = 0;
	reportAtMs = Number.NEGATIVE_INFINITY;
	/** Latency of complete answers; a failure or a shed response counts as slow, however fast it was. */
	readonly latencyMs = new ExponentialMovingAverage(latencySampleWeight);
	readonly slowness = new Slowness();
	readonly limit: AdaptiveLimit;
	/** Send times of the requests in flight, in sending order. */
	readonly #sentAtMs: number[] = [];

	constructor(public upstream: Upstream, connectionShare: number) {
		this.limit = new AdaptiveLimit(upstream.slots, connectionShare);
	}

	/** Number of this instance's requests in flight at the upstream. */
	get inFlight(): number {
		return this.#sentAtMs.length;
	}

	/** Time at which the oldest request in flight was sent. */
	get oldestSentAtMs(): number | undefined {
		return this.#sentAtMs[0];
	}

	/** Returns whether the upstream is ejected or slow, so that it gets few or no requests. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.ejectedUntilMs || this.slowness.factorAt(nowMs, slownessHalfLifeMs) > 1;
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

	/** Records the latency of an answer, or the latency that a failure counts as. */
	onLatency(latencyMs: number, serviceAverageMs: number, nowMs: number): void {
		this.latencyMs.add(latencyMs);
		this.slowness.add(latencyMs, serviceAverageMs, nowMs);
	}

	/** Records a load report. Subtracts this instance's own requests to get those of other instances. */
	onReport(inFlight: number, nowMs: number): void {
		this.othersInFlight = Math.max(0, inFlight - this.inFlight);
		this.reportAtMs = nowMs;
	}

	/** Returns whether the upstream may get new requests: it is neither draining nor ejected. */
	isAvailable(nowMs: number): boolean {
		return !this.isDraining && nowMs >= this.ejectedUntilMs;
	}
}
