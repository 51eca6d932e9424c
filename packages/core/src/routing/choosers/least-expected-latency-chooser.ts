/** Policy `least-expected-latency`: chooses the upstream with the lowest expected latency, its average latency times its estimated load. */
import type {RandomSource} from '../../model/random-source.js';
import {estimatedInFlight} from '../load-estimate.js';
import type {Chooser} from '../chooser.js';
import type {ServiceAverages} from '../service-averages.js';
import type {UpstreamState} from '../upstream-state.js';
import {lowestCost} from './pick.js';

export type LeastExpectedLatencyOptions = {
	readonly halfLifeMs: number;
	readonly comparedUpstreams: number;
	readonly random: RandomSource;
	readonly averages: ServiceAverages;
};

/** Returns the expected latency of one more request. */
export function expectedLatencyMs(state: UpstreamState, averages: ServiceAverages, halfLifeMs: number, nowMs: number): number {
	const latencyMs = state.latencyMs.value ?? averages.latencyMs;
	const load = (estimatedInFlight(state, averages, halfLifeMs, nowMs) + 1) / state.upstream.slots;
	return latencyMs * load;
}

export function createLeastExpectedLatencyChooser(options: LeastExpectedLatencyOptions): Chooser {
	const {halfLifeMs, comparedUpstreams, random, averages} = options;
	return {
		choose: (candidates, nowMs) => lowestCost(
			candidates,
			comparedUpstreams,
			random,
			state => expectedLatencyMs(state, averages, halfLifeMs, nowMs),
		),
	};
}
