/** Simulates one policy with many instances, upstreams of changing speed and random arrivals. */
import {ManualClock} from '@cairnbank/core';
import {TypicalDurations, UpstreamCondition} from '@cairnbank/core/placement';
import {createRandomSource} from '@cairnbank/core/random';
import {chooseUpstream, type UpstreamView, type PlacementPolicy} from './placement-policies.js';
import {SimulatedConnections} from './simulated-connections.js';
import {SimulatedUpstream} from './simulated-upstream.js';

export type PlacementScenario = {
	readonly seed: number;
	readonly instances: number;
	readonly upstreams: number;
	readonly slots: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly meanWorkMs: number;
	/** Requests that take at most this long count as in time. */
	readonly targetMs: number;
};

export type PlacementResult = {
	readonly policy: PlacementPolicy;
	readonly requests: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly inTimeRatio: number;
	readonly probesPerRequest: number;
	readonly connectionsPerRequest: number;
};

type RunningRequest = {readonly endMs: number; readonly view: UpstreamView; readonly inFlightRequest: ReturnType<UpstreamCondition['recordRequestSent']>};

const millisecondsPerSecond = 1000;
/** Work is uniformly distributed around its mean, up to this ratio of it to either side. */
const workSpread = 0.5;

export function runPlacement(policy: PlacementPolicy, scenario: PlacementScenario): PlacementResult {
	const random = createRandomSource(scenario.seed);
	const clock = new ManualClock();
	const upstreams = Array.from({length: scenario.upstreams}, (_, index) => new SimulatedUpstream(scenario.seed + index, scenario.slots, scenario.durationMs));
	const instances = Array.from({length: scenario.instances}, () => upstreams.map((upstream): UpstreamView => ({
		upstream, condition: new UpstreamCondition(clock), connections: new SimulatedConnections(), inFlight: 0,
	})));
	const typical = instances.map(() => new TypicalDurations());
	const durationsMs: number[] = [];
	let running: RunningRequest[] = [];
	let probes = 0;
	const probe = ({upstream, condition, connections}: UpstreamView) => {
		probes += 1;
		connections.take(clock.monotonicMs());
		connections.release(clock.monotonicMs());
		condition.recordLoadReport(upstream.report(clock.monotonicMs()));
	};

	while (clock.monotonicMs() < scenario.durationMs) {
		clock.advance(-Math.log(1 - random.next()) * millisecondsPerSecond / scenario.requestsPerSecond);
		const nowMs = clock.monotonicMs();
		for (const {view, inFlightRequest, endMs} of running.filter(({endMs}) => endMs <= nowMs)) {
			view.inFlight -= 1;
			view.connections.release(endMs);
			view.condition.recordRequestEnd(inFlightRequest, true);
			view.condition.recordLoadReport(view.upstream.report(endMs));
		}

		running = running.filter(({endMs}) => endMs > nowMs);
		const workMs = scenario.meanWorkMs * (1 + (workSpread * ((2 * random.next()) - 1)));
		const instance = Math.floor(random.next() * instances.length);
		const views = instances[instance]!;
		const view = chooseUpstream(policy, {
			views, position: {index: instance, count: instances.length}, nowMs, random, typical: typical[instance]!, workMs: scenario.meanWorkMs, probe,
		});
		const inFlightRequest = view.condition.recordRequestSent(scenario.meanWorkMs);
		view.inFlight += 1;
		view.connections.take(nowMs);
		const endMs = view.upstream.run(nowMs, workMs);
		running.push({endMs, view, inFlightRequest});
		durationsMs.push(endMs - nowMs);
	}

	const opened = instances.flat().reduce((sum, {connections}) => sum + connections.opened, 0);
	const sorted = durationsMs.toSorted((left, right) => left - right);
	const quantile = (ratio: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * ratio))]!;
	return {
		policy,
		requests: sorted.length,
		p50Ms: quantile(0.5),
		p99Ms: quantile(0.99),
		inTimeRatio: sorted.filter(requestMs => requestMs <= scenario.targetMs).length / sorted.length,
		probesPerRequest: probes / sorted.length,
		connectionsPerRequest: opened / sorted.length,
	};
}
