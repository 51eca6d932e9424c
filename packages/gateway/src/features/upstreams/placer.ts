/** Chooses the upstream of an attempt: ranks upstreams by their known condition, probes the load of the best ones, and takes the best. */
import type {AvailabilityZoneId, ServiceId} from '@cairnbank/core';
import type {RoomInputs} from '@cairnbank/core/overload';
import {summarizeUnavailability, type ServiceUnavailability} from '@cairnbank/core/advisories';
import {
	subsetSize, expectedDurationMs, isLightlyLoaded, shouldProbe, takeSubset, TypicalDurations, type SubsetPosition,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import type {Eligibility} from './eligibility.js';
import type {LinkMonitor} from './link-monitor.js';
import type {Placement, PlacementRequest} from './placement.js';
import type {Prober} from './prober.js';
import type {Upstream} from './upstream.js';

/** Upstreams probed at the same time before an attempt. */
const probesPerRound = 2;
/** Longest wait for the answers to one round of probes. */
const roundTimeoutMs = 25;
/** An upstream with a load report at most this old needs no probe. */
const freshReportMs = 5;
/** The same of an upstream that is reached through another instance, which would otherwise pass on several health checks for each request. */
const freshRelayedReportMs = 100;
/** Traffic between availability zones costs money: an upstream in another zone must be this much faster to be chosen. */
const otherZoneCostFactor = 1.25;
/**
 * Upstreams of the own availability zone are probed first, unless they are this much slower. Fewer probe answers are late then,
 * and less traffic goes between zones.
 */
const otherZoneRankingFactor = 1.3;
/** A failed answer costs about this many times the work of a successful one. */
const failureWeight = 4;
/** Every instance uses all upstreams of a service that has at most this many. */
const maximumWithoutSubset = 2 * subsetSize;
/** Rounds in which only the preferred upstreams of a large service are probed; then others are added. */
const subsetRounds = 3;
/** Number of other upstreams that are added then, at random. */
const sampleSize = 8;
/** Random spread of the ranking, so that instances without any load reports don't all probe the same upstreams. */
const rankingSpread = 0.5;

export type PlacerOptions = {
	readonly context: Context;
	readonly prober: Prober;
	readonly eligibility: Eligibility;
	readonly links: Pick<LinkMonitor, 'mayUse' | 'recordFailure' | 'shouldTryRelay'>;
	/** Returns the upstreams that take new requests, of one availability zone or of all, in the same order on all instances. */
	readonly ofService: (service: ServiceId, zone?: AvailabilityZoneId) => readonly Upstream[];
	/** Returns the position of this instance among those of its availability zone or of the fleet. */
	readonly subsetPosition: (among: 'zone' | 'fleet') => SubsetPosition;
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #typicalDurations = new TypicalDurations();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** @returns undefined if the service has no upstream that may be tried */
	async place(request: PlacementRequest): Promise<Placement | undefined> {
		const usable = this.#usable(request);
		const considered = [...this.#preferredUpstreams(request, usable)];
		const queue = this.#ranked(considered, request.workMs);
		let best: Placement | undefined;
		let rounds = 0;
		let isWorthwhile = queue.length > 0;
		while (isWorthwhile) {
			const probed = queue.splice(0, probesPerRound);
			await this.#probeRound(probed);
			this.#recordSilence(probed);
			this.#recordDurations(probed, request.workMs);
			rounds += 1;
			if (rounds === subsetRounds && considered.length < usable.length) {
				const others = this.#sampleOthers(usable, new Set(considered));
				considered.push(...others);
				queue.unshift(...this.#ranked(others, request.workMs));
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

	/** Returns the upstreams that this instance uses first: a subset of a large service, in the own availability zone if it has enough. */
	#preferredUpstreams({service}: PlacementRequest, usable: readonly Upstream[]): readonly Upstream[] {
		if (usable.length <= maximumWithoutSubset) {
			return usable;
		}

		const {context, ofService, subsetPosition} = this.#options;
		const inOwnZone = ofService(service, context.settings.availabilityZone as AvailabilityZoneId);
		const hasFullSubset = inOwnZone.length >= subsetSize;
		const isUsable = new Set(usable);
		const subset = takeSubset(hasFullSubset ? inOwnZone : ofService(service), subsetPosition(hasFullSubset ? 'zone' : 'fleet'), upstream => isUsable.has(upstream));
		return subset.length > 0 ? subset : usable;
	}

	/** Samples from other availability zones if possible, as the preferred upstreams already show how busy the own zone is. */
	#sampleOthers(usable: readonly Upstream[], considered: ReadonlySet<Upstream>): readonly Upstream[] {
		const {random} = this.#options.context;
		const remaining = usable.filter(upstream => !considered.has(upstream));
		const inOtherZones = remaining.filter(upstream => !this.#isInOwnZone(upstream));
		const others = inOtherZones.length > 0 ? inOtherZones : remaining;
		return Array.from({length: Math.min(sampleSize, others.length)}, () => others.splice(random.nextInteger(others.length), 1)[0]!);
	}

	#recordDurations(probed: readonly Upstream[], workMs: number): void {
		for (const upstream of probed.filter(({condition}) => condition.reportAgeMs <= freshReportMs)) {
			this.#typicalDurations.record(upstream.registered.service, this.#expectedMs(upstream, workMs) / workMs);
		}
	}

	#ranked(upstreams: readonly Upstream[], workMs: number): Upstream[] {
		const {random} = this.#options.context;
		return upstreams
			.map(upstream => ({upstream, cost: this.#rankingCostMs(upstream, workMs) * (1 + (random.next() * rankingSpread))}))
			.sort((left, right) => left.cost - right.cost)
			.map(({upstream}) => upstream);
	}

	#cheapest(considered: readonly Upstream[], workMs: number): Placement | undefined {
		const candidates = preferResponsive(considered.filter(upstream => this.#isReachable(upstream) && this.#options.eligibility.maySendRequest(upstream)));
		if (candidates.length === 0) {
			return undefined;
		}

		const costs = candidates.map(upstream => this.#costMs(upstream, workMs));
		const upstream = candidates[costs.indexOf(Math.min(...costs))]!;
		const expectedMs = this.#expectedMs(upstream, workMs);
		const {reportsLoad, report} = upstream.condition;
		return {
			upstream,
			expectedMs,
			workMs,
			slowness: reportsLoad ? report?.slowness : undefined,
			durationRatio: reportsLoad && report !== undefined ? expectedMs / workMs : undefined,
			isLightlyLoaded: isUpstreamLightlyLoaded(upstream),
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
			if (isUpstreamLightlyLoaded(upstream) && this.#isInOwnZone(upstream)) {
				onDone();
			}
		}));
		onDone();
	}

	#isInOwnZone({registered}: Upstream): boolean {
		return registered.availabilityZone === this.#options.context.settings.availabilityZone;
	}

	#rankingCostMs(upstream: Upstream, workMs: number): number {
		return this.#costMs(upstream, workMs) * (this.#isInOwnZone(upstream) ? 1 : otherZoneRankingFactor);
	}

	#costMs(upstream: Upstream, workMs: number): number {
		const zoneFactor = this.#isInOwnZone(upstream) ? 1 : otherZoneCostFactor;
		return this.#expectedMs(upstream, workMs) * zoneFactor * (1 + (failureWeight * upstream.condition.failureRatio));
	}

	#expectedMs({registered, condition}: Upstream, workMs: number): number {
		return expectedDurationMs({
			workMs,
			report: condition.report,
			reportAgeMs: condition.reportAgeMs,
			typicalRatio: this.#typicalDurations.ratioOf(registered.service),
			unreportedInFlight: condition.unreportedInFlight,
			slots: registered.slots,
			warmingUp: condition.warmup.isCold,
		});
	}
}

function isUpstreamLightlyLoaded({registered, condition}: Upstream): boolean {
	return isLightlyLoaded({report: condition.report, unreportedInFlight: condition.unreportedInFlight, slots: registered.slots});
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
