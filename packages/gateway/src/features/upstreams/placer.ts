/** Chooses the upstream of one attempt: ranks by what is known, asks the best for their load now, takes the best. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '@cairnbank/core';
import {noneAvailable, type NoneAvailable} from '@cairnbank/core/advisories';
import {
	subsetSize, expectedDurationMs, isLightlyLoaded, shouldProbe, takeSubset, TypicalDurations, type SubsetPosition,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import type {Eligibility} from './eligibility.js';
import type {Prober} from './prober.js';
import type {Upstream} from './upstream.js';

/** Upstreams asked at the same time before an attempt. */
const probesPerRound = 2;
/** Longest wait for the answers of a round. */
const roundTimeoutMs = 25;
/** A report this fresh needs no health check. */
const freshReportMs = 5;
/** Bytes between availability zones are paid for: another zone must be this much faster to be taken. */
const otherZoneFactor = 1.25;
/**
 * Which upstreams are asked first: those of the own availability zone, unless this much slower. Fewer answers are late,
 * and fewer bytes go between zones.
 */
const otherZoneRankingFactor = 1.3;
/** A failed answer costs about this many times the work of a good one. */
const failureWeight = 4;
/** Up to this many upstreams of a service, every instance uses all of them. */
const smallService = 2 * subsetSize;
/** Rounds in which an instance of a large fleet asks only upstreams that it knows; then it looks further. */
const roundsAtHand = 3;
/** Upstreams that it draws from all others then. */
const drawnOthers = 8;
/** Spread of the ranking, so that instances that know nothing don't all ask the same upstreams. */
const rankingSpread = 0.5;

export type PlacementRequest = {
	readonly service: ServiceId;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	readonly excluded: ReadonlySet<UpstreamId>;
};

export type Placement = {
	readonly upstream: Upstream;
	readonly expectedMs: number;
	/** Work of the request at an upstream of usual speed. */
	readonly workMs: number;
	/** Slowness told by the upstream's last report; nothing where there is none. */
	readonly slowness: number | undefined;
	/** Expected time against the work, from what the upstream tells of its load; nothing where it tells none. */
	readonly durationRatio: number | undefined;
	/** It runs at its usual speed and has a slot to spare. */
	readonly isLightlyLoaded: boolean;
};

export type PlacerOptions = {
	readonly context: Context;
	readonly prober: Prober;
	readonly eligibility: Eligibility;
	/** Upstreams that take new requests, of one availability zone or of all, in an order that is the same at all instances. */
	readonly ofService: (service: ServiceId, zone?: AvailabilityZoneId) => readonly Upstream[];
	/** Place of this instance among those of its availability zone or of the fleet. */
	readonly subsetPosition: (among: 'zone' | 'fleet') => SubsetPosition;
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #typical = new TypicalDurations();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** @returns nothing where the service has no upstream that may be tried */
	async place(request: PlacementRequest): Promise<Placement | undefined> {
		const usable = this.#usable(request);
		const considered = [...this.#atHand(request, usable)];
		const queue = this.#ranked(considered, request.workMs);
		let best: Placement | undefined;
		let rounds = 0;
		let isWorthwhile = queue.length > 0;
		while (isWorthwhile) {
			const asked = queue.splice(0, probesPerRound);
			await this.#ask(asked);
			this.#learn(asked, request.workMs);
			rounds += 1;
			if (rounds === roundsAtHand && considered.length < usable.length) {
				const others = this.#drawOthers(usable, new Set(considered));
				considered.push(...others);
				queue.unshift(...this.#ranked(others, request.workMs));
			}

			best = this.#best(considered, request.workMs);
			isWorthwhile = queue.length > 0 && shouldProbe({
				rounds,
				isLightlyLoaded: best !== undefined && asked.some(upstream => isLight(upstream)),
				bestRatio: best === undefined ? Number.POSITIVE_INFINITY : best.expectedMs / request.workMs,
			});
		}

		if (best !== undefined) {
			this.#options.eligibility.taken(best.upstream);
		}

		return best;
	}

	/** Why none of a service's upstreams takes a request of this instance now; nothing where one does, or there is none. */
	whyHeldBack(service: ServiceId): NoneAvailable | undefined {
		const upstreams = this.#options.ofService(service);
		if (upstreams.length === 0 || upstreams.some(upstream => this.#options.eligibility.mayTake(upstream))) {
			return undefined;
		}

		return noneAvailable(upstreams.map(({condition}) => {
			const {availability} = condition.advisories;
			if (availability.type !== 'available') {
				return availability;
			}

			return {type: condition.advertisedRate.requestsPerSecond === undefined ? 'warming-up' : 'rate-limited'};
		}));
	}

	/** Upstreams that this instance uses first. */
	#atHand({service}: PlacementRequest, usable: readonly Upstream[]): readonly Upstream[] {
		if (usable.length <= smallService) {
			return usable;
		}

		const {context, ofService, subsetPosition} = this.#options;
		const near = ofService(service, context.settings.availabilityZone as AvailabilityZoneId);
		const isEnough = near.length >= subsetSize;
		const isUsable = new Set(usable);
		const taken = takeSubset(isEnough ? near : ofService(service), subsetPosition(isEnough ? 'zone' : 'fleet'), upstream => isUsable.has(upstream));
		return taken.length > 0 ? taken : usable;
	}

	/** Those of other availability zones, as the ones at hand tell how busy the own zone is. */
	#drawOthers(usable: readonly Upstream[], considered: ReadonlySet<Upstream>): readonly Upstream[] {
		const {random} = this.#options.context;
		const left = usable.filter(upstream => !considered.has(upstream));
		const far = left.filter(upstream => !this.#isNear(upstream));
		const others = far.length > 0 ? far : left;
		return Array.from({length: Math.min(drawnOthers, others.length)}, () => others.splice(random.nextInteger(others.length), 1)[0]!);
	}

	#learn(asked: readonly Upstream[], workMs: number): void {
		for (const upstream of asked.filter(({condition}) => condition.reportAgeMs <= freshReportMs)) {
			this.#typical.found(upstream.registered.service, this.#expectedMs(upstream, workMs) / workMs);
		}
	}

	#ranked(upstreams: readonly Upstream[], workMs: number): Upstream[] {
		const {random} = this.#options.context;
		return upstreams
			.map(upstream => ({upstream, cost: this.#rankMs(upstream, workMs) * (1 + (random.next() * rankingSpread))}))
			.sort((left, right) => left.cost - right.cost)
			.map(({upstream}) => upstream);
	}

	#best(considered: readonly Upstream[], workMs: number): Placement | undefined {
		const candidates = answeringOf(considered.filter(upstream => this.#options.eligibility.mayTake(upstream)));
		if (candidates.length === 0) {
			return undefined;
		}

		const costs = candidates.map(upstream => this.#costMs(upstream, workMs));
		const upstream = candidates[costs.indexOf(Math.min(...costs))]!;
		const expectedMs = this.#expectedMs(upstream, workMs);
		const {tellsLoad, report} = upstream.condition;
		return {
			upstream,
			expectedMs,
			workMs,
			slowness: tellsLoad ? report?.slowness : undefined,
			durationRatio: tellsLoad && report !== undefined ? expectedMs / workMs : undefined,
			isLightlyLoaded: isLight(upstream),
		};
	}

	#usable({service, excluded}: PlacementRequest): readonly Upstream[] {
		const untried = this.#options.ofService(service).filter(({registered}) => !excluded.has(registered.id));
		return answeringOf(untried.filter(upstream => this.#options.eligibility.mayConsider(upstream)));
	}

	/** Asks all at once; goes on as soon as one is lightly loaded in this zone, or all have answered, or time is up. */
	async #ask(upstreams: readonly Upstream[]): Promise<void> {
		const stale = upstreams.filter(({condition}) => condition.reportAgeMs > freshReportMs);
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

	/** @param onEnough - called once one upstream is lightly loaded in this zone, and once all have answered */
	async #probeAll(upstreams: readonly Upstream[], onEnough: () => void): Promise<void> {
		await Promise.all(upstreams.map(async upstream => {
			await this.#options.prober.probe(upstream);
			if (isLight(upstream) && this.#isNear(upstream)) {
				onEnough();
			}
		}));
		onEnough();
	}

	#isNear({registered}: Upstream): boolean {
		return registered.availabilityZone === this.#options.context.settings.availabilityZone;
	}

	#rankMs(upstream: Upstream, workMs: number): number {
		return this.#costMs(upstream, workMs) * (this.#isNear(upstream) ? 1 : otherZoneRankingFactor);
	}

	#costMs(upstream: Upstream, workMs: number): number {
		const zoneFactor = this.#isNear(upstream) ? 1 : otherZoneFactor;
		return this.#expectedMs(upstream, workMs) * zoneFactor * (1 + (failureWeight * upstream.condition.failureRatio));
	}

	#expectedMs({registered, condition}: Upstream, workMs: number): number {
		return expectedDurationMs({
			workMs,
			report: condition.report,
			reportAgeMs: condition.reportAgeMs,
			typicalRatio: this.#typical.ratioOf(registered.service),
			unreportedInFlight: condition.unreportedInFlight,
			slots: registered.slots,
			warmingUp: condition.warmth.isCold,
		});
	}
}

function isLight({registered, condition}: Upstream): boolean {
	return isLightlyLoaded({report: condition.report, unreportedInFlight: condition.unreportedInFlight, slots: registered.slots});
}

/** Those that answer; only where none does, those that may not. */
function answeringOf(upstreams: readonly Upstream[]): readonly Upstream[] {
	const reachable = upstreams.filter(({condition}) => !condition.isAvoided);
	const answering = reachable.filter(({condition}) => !condition.isSilent);
	return [answering, reachable, upstreams].find(candidates => candidates.length > 0) ?? [];
}
