/** `npm run bench:placement`: compares policies for choosing among upstreams whose speed changes every half second. */
import Table from 'cli-table3';
import {placementPolicies, type PlacementPolicy} from './placement-policies.js';
import {runPlacement, type PlacementResult, type PlacementScenario} from './placement-run.js';

/** The size of the users' first sites. */
const base: PlacementScenario = {
	seed: 21, instances: 13, upstreams: 24, slots: 4, requestsPerSecond: 160, durationMs: 60_000, meanWorkMs: 100, targetMs: 300,
};
/** Upstreams with two slots, as at another customer, where one of the two is nearly always occupied. */
const twoSlots: PlacementScenario = {
	seed: 5, instances: 16, upstreams: 20, slots: 2, requestsPerSecond: 70, durationMs: 20_000, meanWorkMs: 120, targetMs: 300,
};
const twoSlotSeeds = 4;
/** A large fleet, each instance of which gets few requests. */
const large: PlacementScenario = {
	seed: 9, instances: 110, upstreams: 140, slots: 4, requestsPerSecond: 480, durationMs: 60_000, meanWorkMs: 100, targetMs: 300,
};
const scenarios: Readonly<Record<string, {readonly scenario: PlacementScenario; readonly seeds: number}>> = {
	'160 requests/s': {scenario: base, seeds: 1},
	'320 requests/s': {scenario: {...base, requestsPerSecond: 320}, seeds: 1},
	'480 requests/s': {scenario: {...base, requestsPerSecond: 480}, seeds: 1},
	'two slots, 70 requests/s': {scenario: twoSlots, seeds: twoSlotSeeds},
	'two slots, 95 requests/s': {scenario: {...twoSlots, requestsPerSecond: 95}, seeds: twoSlotSeeds},
	'two slots, 110 requests/s': {scenario: {...twoSlots, requestsPerSecond: 110}, seeds: twoSlotSeeds},
	'large, 240 requests/s': {scenario: {...large, requestsPerSecond: 240}, seeds: 1},
	'large, 480 requests/s': {scenario: large, seeds: 1},
	'large, 1400 requests/s': {scenario: {...large, requestsPerSecond: 1400, durationMs: 20_000}, seeds: 1},
};

/** Averages the results over several seeds, each of which gives other upstream speeds and arrivals. */
function averageOverSeeds(policy: PlacementPolicy, scenario: PlacementScenario, seeds: number): Omit<PlacementResult, 'policy' | 'requests'> {
	const results = Array.from({length: seeds}, (_, index) => runPlacement(policy, {...scenario, seed: scenario.seed + index}));
	const meanOf = (value: (result: PlacementResult) => number) => results.reduce((sum, result) => sum + value(result), 0) / results.length;
	return {
		p50Ms: meanOf(({p50Ms}) => p50Ms),
		p99Ms: meanOf(({p99Ms}) => p99Ms),
		inTimeRatio: meanOf(({inTimeRatio}) => inTimeRatio),
		probesPerRequest: meanOf(({probesPerRequest}) => probesPerRequest),
		connectionsPerRequest: meanOf(({connectionsPerRequest}) => connectionsPerRequest),
	};
}

const table = new Table({head: ['load', 'policy', 'p50 ms', 'p99 ms', 'in time', 'probes per request', 'new connections per request']});
for (const [name, {scenario, seeds}] of Object.entries(scenarios)) {
	for (const policy of placementPolicies) {
		const {p50Ms, p99Ms, inTimeRatio, probesPerRequest, connectionsPerRequest} = averageOverSeeds(policy, scenario, seeds);
		table.push([name, policy, p50Ms.toFixed(0), p99Ms.toFixed(0), inTimeRatio.toFixed(3), probesPerRequest.toFixed(1), connectionsPerRequest.toFixed(2)]);
	}
}

console.log(table.toString());
