/**
 * Policy `home-least-latency`: a home subset with overflow that weights each upstream's load by its slowness. Few instances
 * share a home upstream, so that request counts for it are nearly exact. A request in flight for much longer than usual
 * shows that its upstream is slow before any answer arrives.
 */
import {highestPriority} from '../../limits/service-concurrency-limit.js';
import type {UpstreamId} from '../../model/ids.js';
import type {RandomSource} from '../../model/random-source.js';
import {estimatedInFlight} from '../load-estimate.js';
import type {Chooser} from '../chooser.js';
import type {ServiceAverages} from '../service-averages.js';
import type {UpstreamState} from '../upstream-state.js';
import {lowestCost} from './pick.js';

export type HomeLeastLatencyOptions = {
	readonly homes: () => ReadonlySet<UpstreamId>;
	readonly halfLifeMs: number;
	readonly random: RandomSource;
	readonly averages: ServiceAverages;
};

/** A request in flight for longer than this many average latencies indicates a straggler. */
const toleratedLatencies = 2;
/** Half-life of slowness. Requests of the highest priority try a former straggler again much later than others. */
const defaultSlownessHalfLifeMs = 10_000;
const highestPrioritySlownessHalfLifeMs = 30_000;
/** Number of upstreams compared for one request. */
const comparedUpstreams = 32;

/** Returns a slowness factor from the oldest request in flight; 1 while it is not late. */
function latenessFactor(state: UpstreamState, averageLatencyMs: number, nowMs: number): number {
	const {oldestSentAtMs} = state;
	if (oldestSentAtMs === undefined) {
		return 1;
	}

	return Math.max(1, 1 + ((nowMs - oldestSentAtMs) / averageLatencyMs) - toleratedLatencies);
}

/** Returns the cost of one more request if all slots are taken and the upstream is not slow. */
function costWhenFull({upstream}: UpstreamState): number {
	return (upstream.slots + 1) / upstream.slots;
}

export function createHomeLeastLatencyChooser(options: HomeLeastLatencyOptions): Chooser {
	const {homes, halfLifeMs, random, averages} = options;
	const homeCandidates: UpstreamState[] = [];

	/** Returns the load including the new request, times the slowness. Without the new request, a report of no load would make a slow upstream free. */
	function costOf(state: UpstreamState, nowMs: number, slownessHalfLifeMs: number): number {
		const load = (estimatedInFlight(state, averages, halfLifeMs, nowMs) + 1) / state.upstream.slots;
		const slowness = state.slowness.factorAt(nowMs, slownessHalfLifeMs);
		return load * Math.max(slowness, latenessFactor(state, averages.latencyMs, nowMs));
	}

	return {
		choose(candidates, nowMs, priority) {
			const slownessHalfLifeMs = priority === highestPriority ? highestPrioritySlownessHalfLifeMs : defaultSlownessHalfLifeMs;
			const cost = (state: UpstreamState) => costOf(state, nowMs, slownessHalfLifeMs);
			const homeIds = homes();
			homeCandidates.length = 0;
			for (const candidate of candidates) {
				if (homeIds.has(candidate.upstream.id)) {
					homeCandidates.push(candidate);
				}
			}

			const home = homeCandidates.length === 0 ? undefined : lowestCost(homeCandidates, comparedUpstreams, random, cost);
			if (home !== undefined && cost(home) < costWhenFull(home)) {
				return home;
			}

			const best = lowestCost(candidates, comparedUpstreams, random, cost);
			return home !== undefined && cost(home) <= cost(best) ? home : best;
		},
	};
}
