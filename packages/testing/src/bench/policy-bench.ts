/** Runs all policies in all selected scenarios, with one fleet per workload and the policies in turn within each repeat. */
import {readFile} from 'node:fs/promises';
import {rulesSchema, type Rules} from '@cairnbank/core';
import type {BenchOptions, ScenarioName} from './bench-options.js';
import {Fleet} from './fleet.js';
import {medianOfFields} from './median.js';
import {policyNames} from './policies.js';
import {runPolicy} from './policy-run.js';
import {renderTable, type PolicyResult} from './result-table.js';
import type {RunSummary} from './run-summary.js';
import {scenarioOf} from './scenario.js';
import {workloadOf, type Workload} from './workload.js';

const warmUpSeconds = 4;
const samples = new URL('../../../../samples/', import.meta.url);

async function readSampleRules(workload: Workload): Promise<Rules> {
	return rulesSchema.parse(JSON.parse(await readFile(new URL(`${workload.name}/rules.json`, samples), 'utf8')));
}

export async function benchPolicies(options: BenchOptions): Promise<PolicyResult[]> {
	const results: PolicyResult[] = [];
	for (const name of options.workload) {
		const workload = workloadOf(name);
		const fleet = await Fleet.start(workload, options.daemons ?? workload.daemons);
		try {
			await warmUp(fleet, workload, options);
			for (const scenario of options.scenario) {
				results.push(...await benchScenario(fleet, workload, scenario, options));
			}
		} finally {
			await fleet.stop();
		}
	}

	return results;
}

/** Lets every process compile its hot paths, so that the first policy has no disadvantage. */
async function warmUp(fleet: Fleet, workload: Workload, options: BenchOptions): Promise<void> {
	await runPolicy({
		fleet, workload, scenario: scenarioOf('steady'), policy: 'two-choices', sampleRules: await readSampleRules(workload), options: {...options, seconds: warmUpSeconds}, seed: options.seed,
	});
}

async function benchScenario(fleet: Fleet, workload: Workload, scenario: ScenarioName, options: BenchOptions): Promise<PolicyResult[]> {
	const sampleRules = await readSampleRules(workload);
	const policies = options.policies ?? policyNames;
	const runs = new Map<string, RunSummary[]>(policies.map(policy => [policy, []]));
	for (let repeat = 0; repeat < options.repeats; repeat += 1) {
		for (const policy of policies) {
			runs.get(policy)!.push(await runPolicy({
				fleet, workload, scenario: scenarioOf(scenario), policy, sampleRules, options, seed: options.seed + repeat,
			}));
		}
	}

	const results = policies.map(policy => ({
		workload: workload.name, scenario, policy, repeats: options.repeats, median: medianOfFields(runs.get(policy)!),
	}));
	console.log(`${workload.name}, ${scenario}: ${fleet.daemons.length} daemons, load ${options.load}, ${options.seconds} s, median of ${options.repeats}`);
	console.log(renderTable(results, workload));
	return results;
}
