/** Runs one policy in one scenario. */
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import type {Rules} from '@cairnbank/core';
import {NodeProcess} from '../harness/node-process.js';
import type {BenchOptions} from './bench-options.js';
import type {Fleet, FleetUpstream} from './fleet.js';
import type {LoadClass, LoadJob, LoadReport} from './load-job.js';
import {rulesForPolicy} from './policies.js';
import {summarize, type RunSummary} from './run-summary.js';
import {swing, type Scenario, type ScenarioEvent} from './scenario.js';
import {capacityPerSecond, type Workload} from './workload.js';

const generatorScript = fileURLToPath(new URL('load-generator-main.js', import.meta.url));
const generators = 2;
const callers = 300;
const keepAddressMs = 5000;
const warmUpMs = 1000;

export type PolicyRunOptions = {
	readonly fleet: Fleet;
	readonly workload: Workload;
	readonly scenario: Scenario;
	readonly policy: string;
	readonly sampleRules: Rules;
	readonly options: BenchOptions;
	/** The same seed gives the same arrivals and service times. */
	readonly seed: number;
};

export async function runPolicy(run: PolicyRunOptions): Promise<RunSummary> {
	const {fleet, scenario, options} = run;
	await prepare(run);
	const jobs = Array.from({length: generators}, (_, index) => jobOf(run, index));
	const children = jobs.map(job => new NodeProcess({script: generatorScript, standardInput: JSON.stringify(job), forwardsStandardError: true}));
	await Promise.all(children.map(async child => child.waitForLine('load started', line => 'started' in line)));
	await delay(warmUpMs);
	await Promise.all(fleet.upstreams.map(async ({remote}) => remote.reset()));
	const controlBytesBefore = await fleet.controlBytes();
	await runEvents(scenario.events, run);
	const reports = await Promise.all(children.map(async child => {
		const line = await child.waitForLine('load report', one => 'report' in one);
		return line.report as LoadReport;
	}));
	const controlBytes = await fleet.controlBytes() - controlBytesBefore;
	const counters = await Promise.all(fleet.upstreams.map(async ({remote}) => remote.counters()));
	return summarize({
		reports, counters, controlBytes, daemons: fleet.daemons.length, measuredMs: options.seconds * 1000, slots: run.workload.slots,
	});
}

async function prepare({fleet, workload, scenario, policy, sampleRules, seed}: PolicyRunOptions): Promise<void> {
	await fleet.reset();
	const joining = scenario.events.find(event => event.type === 'join-cold');
	await fleet.publish(fleet.inventory(joining?.upstreamsPerService));
	await fleet.publish(rulesForPolicy(policy, sampleRules));
	if (scenario.swing) {
		await Promise.all(fleet.upstreams.map(async ({remote}, index) => remote.setFaults({
			swing: {...swing, hotSlots: workload.slots, seed: (seed * 1000) + index},
		})));
	}
}

function jobOf({fleet, workload, scenario, options, seed}: PolicyRunOptions, index: number): LoadJob {
	return {
		seed: (seed * generators) + index,
		warmUpMs,
		measuredMs: options.seconds * 1000,
		serviceMs: options.serviceMs,
		targets: fleet.daemons.map(({callersAddress: address, availabilityZone}) => ({address, availabilityZone})),
		classes: classesOf(workload, scenario, options),
		rate: scenario.rate,
		callers,
		keepAddressMs,
	};
}

function classesOf(workload: Workload, scenario: Scenario, options: BenchOptions): LoadClass[] {
	const heldSlots = scenario.swing ? swing.hotRatio * workload.slots : 0;
	return workload.classes.map(one => {
		const service = workload.services.find(({id}) => id === one.service)!;
		const capacity = capacityPerSecond(service, workload.slots - heldSlots, options.serviceMs);
		return {...one, callsPerSecond: capacity * options.load * one.share / generators};
	});
}

async function runEvents(events: readonly ScenarioEvent[], run: PolicyRunOptions): Promise<void> {
	const startMs = performance.now();
	for (const event of events) {
		const dueMs = event.at * run.options.seconds * 1000;
		await delay(Math.max(0, dueMs - (performance.now() - startMs)));
		await applyEvent(event, run.fleet);
	}
}

async function applyEvent(event: ScenarioEvent, fleet: Fleet): Promise<void> {
	const affected: FleetUpstream[] = fleet.upstreams.filter(({index}) => index < event.upstreamsPerService);
	switch (event.type) {
		case 'faults': {
			await fleet.setFaults(affected, event.faults);
			return;
		}

		case 'drain': {
			await fleet.setFaults(affected, {draining: true});
			return;
		}

		case 'join-cold': {
			await fleet.setFaults(affected, event.faults);
			await fleet.publish(fleet.inventory());
		}
	}
}
