/** Probes upstreams for their load, at most as often as their budgets allow. */
import type {
	Clock, ServiceId, Upstream, UpstreamId,
} from '@cairnbank/core';
import {ProbeBudget, probeIntervalMs} from '@cairnbank/core/measurement';
import type {Pool} from 'undici';
import type {ServiceInForce} from '../calls/service-in-force.js';
import {parseLoadReport} from './load-report-header.js';
import type {ServiceSelectors} from './service-selectors.js';
import type {UpstreamMetrics} from './upstream-metrics.js';

/** Limits of the interval at which due probes are looked for. */
const minimumTickMs = 20;
const maximumTickMs = 500;
const ticksPerInterval = 4;
const loadPath = '/load';
const okStatusCode = 200;
/** Age up to which a load report makes a probe unnecessary. */
const staleReportMs = 1000;

export type ProberDependencies = {
	readonly clock: Clock;
	readonly metrics: UpstreamMetrics;
	readonly selectors: ServiceSelectors;
	readonly probeTimeoutMs: number;
	poolOf(upstream: UpstreamId): Pool | undefined;
};

type ProbeTarget = {
	readonly service: ServiceId;
	readonly upstream: Upstream;
	readonly intervalMs: number;
	readonly costMs: number;
	readonly budget: ProbeBudget;
	/** True if the policy of the service relies on probes. Otherwise the upstream is only probed while it is avoided. */
	readonly isAlwaysProbed: boolean;
};

export class Prober {
	readonly #dependencies: ProberDependencies;
	#targets: ReadonlyMap<UpstreamId, ProbeTarget> = new Map();
	#started = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(dependencies: ProberDependencies) {
		this.#dependencies = dependencies;
	}

	/** Applies the upstreams and rules of a new configuration. Budgets with an unchanged interval keep their state. */
	setServices(services: Iterable<ServiceInForce>, nowMs: number): void {
		const targets = new Map<UpstreamId, ProbeTarget>();
		for (const {id: service, upstreams, rules: {probes, policy}} of services) {
			for (const upstream of upstreams) {
				const intervalMs = probeIntervalMs(probes, upstream.slots);
				if (intervalMs === undefined) {
					continue;
				}

				const known = this.#targets.get(upstream.id);
				const budget = known?.intervalMs === intervalMs ? known.budget : new ProbeBudget(intervalMs, nowMs);
				targets.set(upstream.id, {
					service, upstream, intervalMs, costMs: probes.costMs, budget, isAlwaysProbed: policy.type === 'hot-cold',
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

	/** Takes one probe from the upstream's budget and counts it. Returns false if none is left. */
	tryTake(upstream: UpstreamId): boolean {
		const target = this.#targets.get(upstream);
		if (!target?.budget.tryTake(this.#dependencies.clock.monotonicMs())) {
			return false;
		}

		this.#dependencies.metrics.countProbe(target.service, upstream, target.costMs);
		return true;
	}

	/** Runs the timer only while there are upstreams to probe, because each wake-up costs CPU time in an idle daemon. */
	#setTimer(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
		if (this.#started && this.#targets.size > 0) {
			const shortestMs = Math.min(...[...this.#targets.values()].map(({intervalMs}) => intervalMs));
			const tickMs = Math.min(maximumTickMs, Math.max(minimumTickMs, shortestMs / ticksPerInterval));
			this.#timer = setInterval(() => {
				this.#tick();
			}, tickMs);
		}
	}

	#tick(): void {
		const nowMs = this.#dependencies.clock.monotonicMs();
		for (const target of this.#targets.values()) {
			if (target.budget.earliestMs <= nowMs && this.#isWorthProbing(target) && this.tryTake(target.upstream.id)) {
				void this.#probe(target);
			}
		}
	}

	/**
	 * Returns whether a probe of the upstream would return new information. Calls bring load reports at no cost, so probes are for
	 * upstreams that calls avoid. Draining upstreams are probed by membership.
	 */
	#isWorthProbing({service, upstream, isAlwaysProbed}: ProbeTarget): boolean {
		const nowMs = this.#dependencies.clock.monotonicMs();
		const state = this.#dependencies.selectors.get(service)?.stateOf(upstream.id);
		if (state === undefined || state.isDraining || state.inFlight >= state.limit.value) {
			return false;
		}

		return isAlwaysProbed || (state.isAvoided(nowMs) && nowMs - state.reportAtMs > staleReportMs);
	}

	async #probe({service, upstream}: ProbeTarget): Promise<void> {
		const report = await this.#read(upstream);
		if (report !== undefined) {
			this.#dependencies.selectors.get(service)?.onProbe(upstream.id, report, this.#dependencies.clock.monotonicMs());
		}
	}

	async #read(upstream: Upstream) {
		try {
			const answer = await this.#dependencies.poolOf(upstream.id)?.request({
				path: loadPath, method: 'GET', signal: AbortSignal.timeout(this.#dependencies.probeTimeoutMs),
			});
			const text = await answer?.body.text();
			return answer?.statusCode === okStatusCode && text !== undefined ? parseLoadReport(text, upstream.slots) : undefined;
		} catch {
			// A failed probe only yields no report. Failures of the upstream are detected by the calls themselves.
			return undefined;
		}
	}
}
