/** Probes upstreams for their load, never more often than the budget allows. */
import type {
	Clock, ServiceId, Upstream, UpstreamId,
} from '@cairnbank/core';
import {ProbeBudget, probeIntervalMs} from '@cairnbank/core/measurement';
import type {Pool} from 'undici';
import type {ServiceInForce} from '../calls/service-in-force.js';
import {parseLoadReport} from './load-report-header.js';
import type {ServiceSelectors} from './service-selectors.js';
import type {UpstreamMetrics} from './upstream-metrics.js';

const tickMs = 20;
const loadPath = '/load';
const okStatusCode = 200;

export type ProberParts = {
	readonly clock: Clock;
	readonly metrics: UpstreamMetrics;
	readonly selectors: ServiceSelectors;
	readonly probeTimeoutMs: number;
	poolOf(upstream: UpstreamId): Pool | undefined;
};

type Target = {
	readonly service: ServiceId;
	readonly upstream: Upstream;
	readonly intervalMs: number;
	readonly costMs: number;
	readonly budget: ProbeBudget;
};

export class Prober {
	readonly #parts: ProberParts;
	#targets: ReadonlyMap<UpstreamId, Target> = new Map();
	#started = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(parts: ProberParts) {
		this.#parts = parts;
	}

	/** Takes over new rules; budgets that stay the same keep what they have used. */
	replace(services: Iterable<ServiceInForce>, nowMs: number): void {
		const targets = new Map<UpstreamId, Target>();
		for (const {id: service, upstreams, rules: {probes}} of services) {
			for (const upstream of upstreams) {
				const intervalMs = probeIntervalMs(probes, upstream.slots);
				if (intervalMs === undefined) {
					continue;
				}

				const known = this.#targets.get(upstream.id);
				const budget = known?.intervalMs === intervalMs ? known.budget : new ProbeBudget(intervalMs, nowMs);
				targets.set(upstream.id, {
					service, upstream, intervalMs, costMs: probes.costMs, budget,
				});
			}
		}

		this.#targets = targets;
		this.#setTimer();
	}

	start(): void {
		this.#started = true;
		this.#setTimer();
	}

	stop(): void {
		this.#started = false;
		this.#setTimer();
	}

	/** Ticks only while something is probed: 50 wake-ups a second cost an idle daemon more than its gossip. */
	#setTimer(): void {
		if (!this.#started || this.#targets.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			return;
		}

		this.#timer ??= setInterval(() => {
			this.#tick();
		}, tickMs);
	}

	#tick(): void {
		const nowMs = this.#parts.clock.monotonicMs();
		for (const target of this.#targets.values()) {
			if (target.budget.earliestMs <= nowMs && this.#isWorthProbing(target)) {
				target.budget.tryTake(nowMs);
				void this.#probe(target);
			}
		}
	}

	/** An upstream that gets no work anyway needs no probe, nor one whose connections are all in use. */
	#isWorthProbing({service, upstream}: Target): boolean {
		const state = this.#parts.selectors.get(service)?.stateOf(upstream.id);
		return state !== undefined && !state.isDraining && state.inFlight < state.limit.value;
	}

	async #probe({service, upstream, costMs}: Target): Promise<void> {
		this.#parts.metrics.probed(service, upstream.id, costMs);
		const report = await this.#read(upstream);
		if (report !== undefined) {
			this.#parts.selectors.get(service)?.onProbe(upstream.id, report, this.#parts.clock.monotonicMs());
		}
	}

	async #read(upstream: Upstream) {
		try {
			const answer = await this.#parts.poolOf(upstream.id)?.request({
				path: loadPath, method: 'GET', signal: AbortSignal.timeout(this.#parts.probeTimeoutMs),
			});
			const text = await answer?.body.text();
			return answer?.statusCode === okStatusCode && text !== undefined ? parseLoadReport(text, upstream.slots) : undefined;
		} catch {
			// No answer is no report; the calls themselves tell whether the upstream fails.
			return undefined;
		}
	}
}
