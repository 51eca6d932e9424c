/** Chooses the upstream of an attempt: ranks upstreams by their known condition, probes the load of the best ones, and takes the best. */
import type {ServiceId} from '@cairnbank/core';
import type {RoomInputs} from '@cairnbank/core/overload';
import {summarizeUnavailability, type ServiceUnavailability} from '@cairnbank/core/advisories';
import {nextProbes, probeRounds, shouldProbe} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import type {Eligibility} from './eligibility.js';
import type {LinkMonitor} from './link-monitor.js';
import type {Placement, PlacementRequest} from './placement.js';
import {freshReportMs, isUpstreamLightlyLoaded, PlacementCosts} from './placement-costs.js';
import {PreferredUpstreams, type PreferredUpstreamsOptions} from './preferred-upstreams.js';
import type {Prober} from './prober.js';
import type {Upstream} from './upstream.js';

/** Longest wait for the answers to one round of probes. */
const roundTimeoutMs = 25;
/** The same of an upstream that is reached through another instance, which would otherwise pass on several health checks for each request. */
const freshRelayedReportMs = 100;
/** Rounds in which only the preferred upstreams of a large service are probed; then others are added. */
const subsetRounds = 3;

export type PlacerOptions = PreferredUpstreamsOptions & {
	readonly context: Context;
	readonly prober: Prober;
	readonly eligibility: Eligibility;
	readonly links: Pick<LinkMonitor, 'mayUse' | 'recordFailure' | 'shouldTryRelay'>;
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #costs: PlacementCosts;
	readonly #preferred: PreferredUpstreams;

	constructor(options: PlacerOptions) {
		this.#options = options;
		this.#costs = new PlacementCosts(options.context);
		this.#preferred = new PreferredUpstreams(options);
	}

	/** @returns undefined if the service has no upstream that may be tried */
	async place(request: PlacementRequest): Promise<Placement | undefined> {
		const usable = this.#usable(request);
		const preferred = this.#preferred.of(request.service, usable);
		const considered = this.#costs.ranked(preferred.upstreams, request.workMs, preferred.isInCore);
		const queue = [...considered];
		let best: Placement | undefined;
		let probes = 0;
		let isWorthwhile = queue.length > 0;
		while (isWorthwhile) {
			const probed = queue.splice(0, nextProbes(probes, this.#costs.isInOwnZone(queue[0]!)));
			await this.#probeRound(probed);
			this.#recordSilence(probed);
			this.#costs.recordDurations(probed, request.workMs);
			probes += probed.length;
			const rounds = probeRounds(probes);
			if (rounds === subsetRounds && considered.length < usable.length) {
				const others = this.#preferred.sampleOthers(usable, new Set(considered));
				considered.push(...others);
				queue.unshift(...this.#costs.ranked(others, request.workMs, () => true));
			}

			best = this.#cheapest(considered, request.workMs);
			isWorthwhile = queue.length > 0 && shouldProbe({
				rounds,
				isLightlyLoaded: best !== undefined && probed.some(upstream => isUpstreamLightlyLoaded(upstream)),
				bestRatio: best === undefined ? Number.POSITIVE_INFINITY : best.expectedMs / request.workMs,
			});
		}

		if (best !== undefined) {
			this.#options.eligibility.recordRequest(best.upstream);
		}

		return best;
	}

	/** Returns the reason that no upstream of a service takes a request from this instance now; undefined if one does, or if there are no upstreams. */
	explainNoneEligible(service: ServiceId): ServiceUnavailability | undefined {
		const upstreams = this.#options.ofService(service);
		if (upstreams.length === 0 || upstreams.some(upstream => this.#isReachable(upstream) && this.#options.eligibility.maySendRequest(upstream))) {
			return undefined;
		}

		return summarizeUnavailability(upstreams.map(upstream => {
			const {condition} = upstream;
			const {availability} = condition.advisories;
			if (availability.type !== 'available') {
				return availability;
			}

			if (!this.#isReachable(upstream)) {
				return {type: 'unreachable', remainingMs: condition.checkDueInMs};
			}

			return {type: condition.advertisedRate.requestsPerSecond === undefined ? 'warming-up' : 'rate-limited'};
		}));
	}

	#cheapest(considered: readonly Upstream[], workMs: number): Placement | undefined {
		const candidates = preferResponsive(considered.filter(upstream => this.#isReachable(upstream) && this.#options.eligibility.maySendRequest(upstream)));
		if (candidates.length === 0) {
			return undefined;
		}

		const costs = candidates.map(upstream => this.#costs.costMs(upstream, workMs));
		const upstream = candidates[costs.indexOf(Math.min(...costs))]!;
		const expectedMs = this.#costs.expectedMs(upstream, workMs);
		const {reportsLoad, report} = upstream.condition;
		return {
			upstream,
			expectedMs,
			workMs,
			slowness: reportsLoad ? report?.slowness : undefined,
			durationRatio: reportsLoad && report !== undefined ? expectedMs / workMs : undefined,
			isLightlyLoaded: isUpstreamLightlyLoaded(upstream),
			isLoadKnown: candidates.some(({condition}) => condition.report !== undefined),
			isLoadAwaited: upstream.condition.isBeingChecked && !this.#options.eligibility.isPaced(upstream),
			room: roomOf(upstream),
		};
	}

	#usable({service, excluded, notReached}: PlacementRequest): readonly Upstream[] {
		const untried = this.#options.ofService(service).filter(upstream => {
			const {registered: {id}, pool: {path}} = upstream;
			return !excluded.has(id) || (notReached.has(id) && (path.isRelayed || this.#options.links.shouldTryRelay(upstream)));
		});
		const considered = untried.filter(upstream => this.#options.eligibility.mayConsider(upstream));
		const reachable = considered.filter(upstream => this.#isReachable(upstream));
		return reachable.length > 0 ? preferResponsive(reachable) : considered.filter(upstream => this.#isWorthChecking(upstream));
	}

	#isReachable(upstream: Upstream): boolean {
		return !upstream.condition.isUnreachable && this.#options.links.mayUse(upstream);
	}

	/** Whether a health check may show that an upstream can be reached again; not just after one that has failed. */
	#isWorthChecking(upstream: Upstream): boolean {
		const {condition} = upstream;
		return this.#options.links.shouldTryRelay(upstream) || condition.isHealthCheckDue || !condition.isUnreachable;
	}

	/** Reports the upstreams that have let the time of a health check pass, as this instance may have lost its links to all of them. */
	#recordSilence(probed: readonly Upstream[]): void {
		for (const {registered, condition, pool} of probed) {
			if (condition.isUnresponsive && !pool.path.isRelayed) {
				this.#options.links.recordFailure(registered, true);
			}
		}
	}

	/** Probes all concurrently; resolves once one in this zone is lightly loaded, all have answered, or the round times out. */
	async #probeRound(upstreams: readonly Upstream[]): Promise<void> {
		const stale = upstreams.filter(({condition, pool}) => condition.reportAgeMs > (pool.path.isRelayed ? freshRelayedReportMs : freshReportMs));
		if (stale.length === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, roundTimeoutMs);
			const done = () => {
				clearTimeout(timer);
				resolve();
			};

			void this.#probeAll(stale, done);
		});
	}

	/** @param onDone - called for each upstream in this zone found lightly loaded, and once all probes have ended */
	async #probeAll(upstreams: readonly Upstream[], onDone: () => void): Promise<void> {
		await Promise.all(upstreams.map(async upstream => {
			await this.#options.prober.probe(upstream);
			if (isUpstreamLightlyLoaded(upstream) && this.#costs.isInOwnZone(upstream)) {
				onDone();
			}
		}));
		onDone();
	}
}

function roomOf({registered, condition: {report, reportAgeMs, unreportedInFlight}}: Upstream): RoomInputs {
	return {
		report, reportAgeMs, unreportedInFlight, slots: registered.slots,
	};
}

/** Keeps the upstreams that answer probes; all if there are none. */
function preferResponsive(upstreams: readonly Upstream[]): readonly Upstream[] {
	const answering = upstreams.filter(({condition}) => !condition.isUnresponsive);
	return answering.length > 0 ? answering : upstreams;
}
