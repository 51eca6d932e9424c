/**
 * Policy `hot-cold`: keeps a pool of recent load reports and applies the hot-cold rule (Prequal, NSDI 2024). Of the pooled
 * upstreams that are not hot, it chooses the one with the lowest latency; if all are hot, the one with the fewest
 * requests in flight.
 */
import type {RandomSource} from '../../model/random-source.js';
import type {RoutingPolicy} from '../../model/routing-policy.js';
import type {Chooser} from '../chooser.js';
import type {UpstreamState} from '../upstream-state.js';
import {randomEntry} from './pick.js';

type HotColdPolicy = Extract<RoutingPolicy, {type: 'hot-cold'}>;

type PoolEntry = {
	readonly state: UpstreamState;
	/** Reported requests, plus those that this instance has sent based on the report. */
	inFlight: number;
	remainingUses: number;
	readonly atMs: number;
};

/** With fewer usable reports the choice is random, which also collects reports from other upstreams. */
const minimumPoolSize = 4;
/** Number of requests sent based on one report. */
const usesPerReport = 2;
const unknownLatencyMs = 0;
const recentInFlightCount = 64;

export function createHotColdChooser(policy: HotColdPolicy, random: RandomSource): Chooser {
	let pool: PoolEntry[] = [];
	const recentInFlight: number[] = [];
	let nextIndex = 0;

	function hotThreshold(): number {
		const sorted = recentInFlight.toSorted((a, b) => a - b);
		return sorted[Math.floor(policy.hotQuantile * (sorted.length - 1))] ?? Number.POSITIVE_INFINITY;
	}

	function pickFrom(entries: readonly PoolEntry[]): PoolEntry | undefined {
		const threshold = hotThreshold();
		let best: PoolEntry | undefined;
		for (const entry of entries) {
			if (best === undefined || isBetter(entry, best, threshold)) {
				best = entry;
			}
		}

		return best;
	}

	return {
		choose(candidates, nowMs) {
			const usable = new Set(candidates);
			pool = pool.filter(entry => entry.remainingUses > 0 && nowMs - entry.atMs <= policy.maximumAgeMs);
			const entries = pool.filter(entry => usable.has(entry.state));
			const picked = entries.length < Math.min(minimumPoolSize, candidates.length) ? undefined : pickFrom(entries);
			if (picked === undefined) {
				return randomEntry(candidates, random);
			}

			picked.inFlight++;
			picked.remainingUses--;
			return picked.state;
		},
		onReport(state, report, nowMs) {
			recentInFlight[nextIndex] = report.inFlight;
			nextIndex = (nextIndex + 1) % recentInFlightCount;
			pool = pool.filter(entry => entry.state !== state);
			pool.push({
				state, inFlight: report.inFlight, remainingUses: usesPerReport, atMs: nowMs,
			});
			if (pool.length > policy.poolSize) {
				pool.shift();
			}
		},
	};
}

function isBetter(entry: PoolEntry, best: PoolEntry, hotThreshold: number): boolean {
	const isHot = entry.inFlight > hotThreshold;
	const isBestHot = best.inFlight > hotThreshold;
	if (isHot !== isBestHot) {
		return !isHot;
	}

	if (isHot) {
		return entry.inFlight < best.inFlight;
	}

	return (entry.state.latencyMs.value ?? unknownLatencyMs) < (best.state.latencyMs.value ?? unknownLatencyMs);
}
