/**
 * Home subset with overflow, stragglers weighed by their slowness. Few instances share a home, so that counts of
 * it are nearly exact; what is out for much longer than usual marks its upstream before any answer does.
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

/** A request out for longer than this many average latencies tells of a straggler. */
const usualLatencies = 2;
/** Calls of the first class try a former straggler again much later than others. */
const retrialHalfLifeMs = 10_000;
const firstClassRetrialHalfLifeMs = 30_000;
/** Upstreams compared for one request. */
const comparedUpstreams = 32;

/** Evidence of requests that are still out: 1 while none is late. */
function latenessFactor(state: UpstreamState, averageLatencyMs: number, nowMs: number): number {
	const {oldestSentAtMs} = state;
	if (oldestSentAtMs === undefined) {
		return 1;
	}

	return Math.max(1, 1 + ((nowMs - oldestSentAtMs) / averageLatencyMs) - usualLatencies);
}

/** Cost of one more request where all slots are taken and nothing is slow. */
function costOfFull({upstream}: UpstreamState): number {
	return (upstream.slots + 1) / upstream.slots;
}

export function createHomeLeastLatencyChooser(options: HomeLeastLatencyOptions): Chooser {
	const {homes, halfLifeMs, random, averages} = options;
	const homeCandidates: UpstreamState[] = [];

	/** The request itself counts: a report of no load at all must not outweigh own evidence. */
	function costOf(state: UpstreamState, nowMs: number, retrialMs: number): number {
		const load = (estimatedInFlight(state, averages, halfLifeMs, nowMs) + 1) / state.upstream.slots;
		const slowness = state.slowness.factorAt(nowMs, retrialMs);
		return load * Math.max(slowness, latenessFactor(state, averages.latencyMs, nowMs));
	}

	return {
		choose(candidates, nowMs, priority) {
			const retrialMs = priority === highestPriority ? firstClassRetrialHalfLifeMs : retrialHalfLifeMs;
			const cost = (state: UpstreamState) => costOf(state, nowMs, retrialMs);
			const own = homes();
			homeCandidates.length = 0;
			for (const candidate of candidates) {
				if (own.has(candidate.upstream.id)) {
					homeCandidates.push(candidate);
				}
			}

			const home = homeCandidates.length === 0 ? undefined : lowestCost(homeCandidates, comparedUpstreams, random, cost);
			if (home !== undefined && cost(home) < costOfFull(home)) {
				return home;
			}

			const other = lowestCost(candidates, comparedUpstreams, random, cost);
			return home !== undefined && cost(home) <= cost(other) ? home : other;
		},
	};
}
