/** `npm run bench:placement`: compares ways to choose an upstream whose speed swings within half a second. */
import Table from 'cli-table3';
import {placementPolicies} from './placement-policies.js';
import {runPlacement, type PlacementScenario} from './placement-run.js';

/** The size of the users' first sites. */
const base: PlacementScenario = {
	seed: 21, instances: 13, upstreams: 24, slots: 4, requestsPerSecond: 160, durationMs: 60_000, meanWorkMs: 100, targetMs: 300,
};
const scenarios = {
	'160 requests/s': base,
	'320 requests/s': {...base, requestsPerSecond: 320},
	'480 requests/s': {...base, requestsPerSecond: 480},
} as const;

const table = new Table({head: ['load', 'policy', 'p50 ms', 'p99 ms', 'in time', 'asked per request']});
for (const [name, scenario] of Object.entries(scenarios)) {
	for (const policy of placementPolicies) {
		const {p50Ms, p99Ms, inTimeRatio, asksPerRequest} = runPlacement(policy, scenario);
		table.push([name, policy, p50Ms.toFixed(0), p99Ms.toFixed(0), inTimeRatio.toFixed(3), asksPerRequest.toFixed(1)]);
	}
}

console.log(table.toString());
