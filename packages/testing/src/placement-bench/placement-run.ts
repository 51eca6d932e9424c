/** Plays one policy in simulated time: many instances, upstreams that swing, requests at random moments. */
import {ManualClock} from '@cairnbank/core';
import {TypicalDurations, UpstreamCondition} from '@cairnbank/core/placement';
import {createRandomSource} from '@cairnbank/core/random';
import {choose, type Known, type PlacementPolicy} from './placement-policies.js';
import {SimulatedUpstream} from './simulated-upstream.js';

export type PlacementScenario = {
	readonly seed: number;
	readonly instances: number;
	readonly upstreams: number;
	readonly slots: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly meanWorkMs: number;
	/** Within this a request counts as in time. */
	readonly targetMs: number;
};

export type PlacementResult = {
	readonly policy: PlacementPolicy;
	readonly requests: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly inTimeRatio: number;
	readonly asksPerRequest: number;
};

type Running = {readonly endMs: number; readonly known: Known; readonly own: ReturnType<UpstreamCondition['recordRequestSent']>};

const millisecondsPerSecond = 1000;
/** Work varies around its mean by this much, evenly. */
const workSpread = 0.5;

export function runPlacement(policy: PlacementPolicy, scenario: PlacementScenario): PlacementResult {
	const random = createRandomSource(scenario.seed);
	const clock = new ManualClock();
	const upstreams = Array.from({length: scenario.upstreams}, (_, index) => new SimulatedUpstream(scenario.seed + index, scenario.slots, scenario.durationMs));
	const instances = Array.from({length: scenario.instances}, () => upstreams.map((upstream): Known => ({
		upstream, condition: new UpstreamCondition(clock), inFlight: 0,
	})));
	const typical = instances.map(() => new TypicalDurations());
	const tookMs: number[] = [];
	let running: Running[] = [];
	let asks = 0;
	const ask = ({upstream, condition}: Known) => {
		asks += 1;
		condition.recordLoadReport(upstream.report(clock.monotonicMs()));
	};

	while (clock.monotonicMs() < scenario.durationMs) {
		clock.advance(-Math.log(1 - random.next()) * millisecondsPerSecond / scenario.requestsPerSecond);
		const nowMs = clock.monotonicMs();
		for (const {known, own, endMs} of running.filter(({endMs}) => endMs <= nowMs)) {
			known.inFlight -= 1;
			known.condition.recordRequestEnd(own, true);
			known.condition.recordLoadReport(known.upstream.report(endMs));
		}

		running = running.filter(({endMs}) => endMs > nowMs);
		const workMs = scenario.meanWorkMs * (1 + (workSpread * ((2 * random.next()) - 1)));
		const instance = Math.floor(random.next() * instances.length);
		const all = instances[instance]!;
		const known = choose(policy, {
			all, random, typical: typical[instance]!, workMs: scenario.meanWorkMs, ask,
		});
		const own = known.condition.recordRequestSent(scenario.meanWorkMs);
		known.inFlight += 1;
		const endMs = known.upstream.run(nowMs, workMs);
		running.push({endMs, known, own});
		tookMs.push(endMs - nowMs);
	}

	const sorted = tookMs.toSorted((left, right) => left - right);
	const quantile = (ratio: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * ratio))]!;
	return {
		policy,
		requests: sorted.length,
		p50Ms: quantile(0.5),
		p99Ms: quantile(0.99),
		inTimeRatio: sorted.filter(took => took <= scenario.targetMs).length / sorted.length,
		asksPerRequest: asks / sorted.length,
	};
}
