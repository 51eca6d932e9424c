/** Chooses the upstream of one attempt: ranks by what is known, asks the best for their load now, takes the best. */
import type {ServiceId, UpstreamId} from '@cairnbank/core';
import {
	expectedDurationMs, isAtEase, isWorthAsking, TypicalDurations,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
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
 * and fewer bytes go between zones: worth 0.640 against 0.631, mean of 15 days of high load and faults
 * (standard error of the difference 0.003).
 */
const otherZoneRankingFactor = 1.3;
/** A failed answer costs about this many times the work of a good one. */
const failureWeight = 4;
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
	readonly isAtEase: boolean;
};

export type PlacerOptions = {
	readonly context: Context;
	readonly prober: Prober;
	readonly ofService: (service: ServiceId) => readonly Upstream[];
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #typical = new TypicalDurations();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** @returns nothing where the service has no upstream that may be tried */
	async place(request: PlacementRequest): Promise<Placement | undefined> {
		const ranked = this.#ranked(request);
		let best = this.#best(request);
		let rounds = 0;
		let isWorthwhile = best !== undefined;
		while (isWorthwhile) {
			const asked = ranked.slice(rounds * probesPerRound, (rounds + 1) * probesPerRound);
			await this.#ask(asked);
			this.#learn(asked, request.workMs);
			rounds += 1;
			best = this.#best(request);
			const hasOthers = rounds * probesPerRound < ranked.length;
			isWorthwhile = best !== undefined && hasOthers && isWorthAsking({
				rounds, isAtEase: asked.some(upstream => hasEase(upstream)), bestRatio: best.expectedMs / request.workMs,
			});
		}

		return best;
	}

	#learn(asked: readonly Upstream[], workMs: number): void {
		for (const upstream of asked.filter(({condition}) => condition.reportAgeMs <= freshReportMs)) {
			this.#typical.found(upstream.registered.service, this.#expectedMs(upstream, workMs) / workMs);
		}
	}

	#ranked(request: PlacementRequest): readonly Upstream[] {
		const {random} = this.#options.context;
		return this.#candidates(request)
			.map(upstream => ({upstream, cost: this.#rankMs(upstream, request.workMs) * (1 + (random.next() * rankingSpread))}))
			.sort((left, right) => left.cost - right.cost)
			.map(({upstream}) => upstream);
	}

	#best(request: PlacementRequest): Placement | undefined {
		const candidates = this.#candidates(request);
		if (candidates.length === 0) {
			return undefined;
		}

		const costs = candidates.map(upstream => this.#costMs(upstream, request.workMs));
		const upstream = candidates[costs.indexOf(Math.min(...costs))]!;
		const expectedMs = this.#expectedMs(upstream, request.workMs);
		const {tellsLoad, report} = upstream.condition;
		return {
			upstream,
			expectedMs,
			workMs: request.workMs,
			slowness: tellsLoad ? report?.slowness : undefined,
			durationRatio: tellsLoad && report !== undefined ? expectedMs / request.workMs : undefined,
			isAtEase: hasEase(upstream),
		};
	}

	/** Those that answer; only where none does, those that may not. */
	#candidates({service, excluded}: PlacementRequest): readonly Upstream[] {
		const all = this.#options.ofService(service).filter(({registered}) => !excluded.has(registered.id));
		const reachable = all.filter(({condition}) => !condition.isAvoided);
		const answering = reachable.filter(({condition}) => !condition.isSilent);
		return [answering, reachable, all].find(candidates => candidates.length > 0) ?? [];
	}

	/** Asks all at once; goes on as soon as one is at ease in this zone, or all have answered, or time is up. */
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

	/** @param onEnough - called once one upstream is at ease in this zone, and once all have answered */
	async #probeAll(upstreams: readonly Upstream[], onEnough: () => void): Promise<void> {
		await Promise.all(upstreams.map(async upstream => {
			await this.#options.prober.probe(upstream);
			if (hasEase(upstream) && this.#isNear(upstream)) {
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

	#expectedMs({registered, condition, warmUntilMs}: Upstream, workMs: number): number {
		return expectedDurationMs({
			workMs,
			report: condition.report,
			reportAgeMs: condition.reportAgeMs,
			typicalRatio: this.#typical.ratioOf(registered.service),
			unreportedInFlight: condition.unreportedInFlight,
			slots: registered.slots,
			warmingUp: warmUntilMs > this.#options.context.clock.monotonicMs(),
		});
	}
}

function hasEase({registered, condition}: Upstream): boolean {
	return isAtEase({report: condition.report, unreportedInFlight: condition.unreportedInFlight, slots: registered.slots});
}
