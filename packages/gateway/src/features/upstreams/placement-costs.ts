/** Costs of a request at each upstream, as this instance knows their condition, and the order in which to probe them. */
import {
	expectedDurationMs, isLightlyLoaded, probeRank, TypicalDurations,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import type {Upstream} from './upstream.js';

/** An upstream with a load report at most this old needs no probe. */
export const freshReportMs = 5;
/** Traffic between availability zones costs money: an upstream in another zone must be this much faster to be chosen. */
const otherZoneCostFactor = 1.25;
/**
 * Upstreams of the own availability zone are probed first, unless they are this much slower. Fewer probe answers are late then,
 * and less traffic goes between zones.
 */
const otherZoneRankingFactor = 1.3;
/** A failed answer costs about this many times the work of a successful one. */
const failureWeight = 4;

export class PlacementCosts {
	readonly #context: Pick<Context, 'random' | 'settings'>;
	readonly #typicalDurations = new TypicalDurations();

	constructor(context: Pick<Context, 'random' | 'settings'>) {
		this.#context = context;
	}

	/** Learns the usual duration from upstreams that have just reported their load. */
	recordDurations(probed: readonly Upstream[], workMs: number): void {
		for (const upstream of probed.filter(({condition}) => condition.reportAgeMs <= freshReportMs)) {
			this.#typicalDurations.record(upstream.registered.service, this.expectedMs(upstream, workMs) / workMs);
		}
	}

	/**
	 * Sorts upstreams into the order in which to probe them.
	 *
	 * @param isInCore - whether an upstream is among those that this instance uses as long as they suffice
	 */
	ranked(upstreams: readonly Upstream[], workMs: number, isInCore: (upstream: Upstream) => boolean): Upstream[] {
		return upstreams
			.map(upstream => {
				const costMs = this.costMs(upstream, workMs) * (this.isInOwnZone(upstream) ? 1 : otherZoneRankingFactor);
				return {upstream, rank: probeRank({costMs, connection: upstream.pool.connectionState, isInCore: isInCore(upstream)}, this.#context.random.next())};
			})
			.sort((left, right) => left.rank - right.rank)
			.map(({upstream}) => upstream);
	}

	costMs(upstream: Upstream, workMs: number): number {
		const zoneFactor = this.isInOwnZone(upstream) ? 1 : otherZoneCostFactor;
		return this.expectedMs(upstream, workMs) * zoneFactor * (1 + (failureWeight * upstream.condition.failureRatio));
	}

	expectedMs({registered, condition}: Upstream, workMs: number): number {
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

	isInOwnZone({registered}: Upstream): boolean {
		return registered.availabilityZone === this.#context.settings.availabilityZone;
	}
}

export function isUpstreamLightlyLoaded({registered, condition}: Upstream): boolean {
	return isLightlyLoaded({report: condition.report, unreportedInFlight: condition.unreportedInFlight, slots: registered.slots});
}
