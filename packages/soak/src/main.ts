/** `npm run soak -- --seed N --count K`: runs schedules of overlapping faults one after the other and reports each breach. */
import process from 'node:process';
import {cac} from 'cac';
import {worstRetryWindow} from '@cairnbank/platform/spec-support/retry-bound';
import {checks} from './all-checks.js';
import {findAllBreaches, saveFindings} from './findings.js';
import {buildMutant} from './mutant.js';
import {mutations} from './all-mutations.js';
import type {Mutation} from './mutations.js';
import {generatePlannedStops} from './planned-stops.js';
import {
	generateFleetSchedule, generateSchedule, mutationSchedule, readSchedule, type Schedule,
} from './schedule.js';
import {SoakRun} from './soak-run.js';
import {soakRetryBound} from './soak-site.js';

const exitCodes = {passed: 0, breached: 1} as const;

type Options = {
	readonly seed: number;
	readonly count: number;
	readonly instances?: number;
	readonly seconds?: number;
	readonly program?: string;
	readonly file?: string;
	readonly fleet?: boolean;
	readonly stops?: boolean;
	readonly mutations?: boolean;
	readonly mutation?: string;
};

async function runSchedule(schedule: Schedule, program: string | undefined): Promise<boolean> {
	const run = new SoakRun(schedule, program);
	const history = await run.execute();
	const breaches = findAllBreaches(history);
	const {instances, upstreams, events} = schedule;
	const fullest = worstRetryWindow(history.calls.map(({sentAtMs}) => sentAtMs), history.arrivals, soakRetryBound);
	const served = history.calls.filter(({end}) => end.type === 'answered' && end.status === 200).length;
	console.log([
		`seed ${schedule.seed}: ${breaches.length === 0 ? 'sound' : `${breaches.length} breaches`}`,
		`${instances} instances`,
		`${upstreams} upstreams`,
		`${events.length} events`,
		`${history.calls.length} requests`,
		`${served} served`,
		`${fullest?.retries ?? 0} retries in the fullest window, ${fullest?.allowed.toFixed(1) ?? soakRetryBound.slack} allowed`,
	].join(', '));
	for (const breach of breaches.slice(0, 10)) {
		console.log(`  ${breach}`);
	}

	if (breaches.length > 0) {
		console.log(`  saved in ${saveFindings(schedule, history, breaches, run)}`);
	}

	return breaches.length === 0;
}

/** @returns whether the check that should notice the mutation does */
async function runMutation(mutation: Mutation): Promise<boolean> {
	const run = new SoakRun(mutationSchedule(mutation), buildMutant(mutation));
	const history = await run.execute();
	const noticing = checks.filter(({findBreaches}) => findBreaches(history).length > 0).map(({name}) => name);
	const isNoticed = noticing.includes(mutation.noticedBy);
	console.log(`${mutation.name}: ${isNoticed ? 'noticed' : 'NOT noticed'} by "${mutation.noticedBy}"`);
	for (const name of noticing.filter(other => other !== mutation.noticedBy)) {
		console.log(`  also by "${name}"`);
	}

	return isNoticed;
}

async function runMutations(only: string | undefined): Promise<number> {
	const selected = mutations.filter(({name}) => only === undefined || name === only);
	const missed: string[] = [];
	for (const mutation of selected) {
		missed.push(...(await runMutation(mutation) ? [] : [mutation.name]));
	}

	console.log(missed.length === 0 ? `${selected.length} mutations, all noticed` : `${selected.length} mutations, not noticed: ${missed.join(' ')}`);
	return missed.length === 0 ? exitCodes.passed : exitCodes.breached;
}

async function main(): Promise<number> {
	const cli = cac('soak');
	cli.option('--seed <number>', 'first seed', {default: 1});
	cli.option('--count <number>', 'number of schedules to run, with consecutive seeds', {default: 1});
	cli.option('--instances <number>', 'number of instances; random if not given');
	cli.option('--seconds <number>', 'duration of a schedule; 10 if not given');
	cli.option('--file <path>', 'run only the schedule in this file, or that of a saved run');
	cli.option('--program <path>', 'program to test, such as target/cairnbankd.cjs; the compiled program if not given');
	cli.option('--fleet', 'run a fleet through outages of all upstreams, with few requests per instance; 19 instances and 60 seconds if not given');
	cli.option('--stops', 'stop all instances of a fleet as planned work, with no faults beside it; 6 instances if not given');
	cli.option('--mutations', 'run each intentionally broken build, and report whether its check notices it');
	cli.option('--mutation <name>', 'run only this mutation');
	cli.help();
	const {
		seed, count, instances, seconds, program, file, fleet: isFleet, stops: plansStops, mutations: runsMutations, mutation, help,
	} = cli.parse().options as unknown as Options & {readonly help?: boolean};
	if (help) {
		return exitCodes.passed;
	}

	if (runsMutations === true || mutation !== undefined) {
		return runMutations(mutation);
	}

	if (file !== undefined) {
		return await runSchedule(readSchedule(file), program) ? exitCodes.passed : exitCodes.breached;
	}

	const breached: number[] = [];
	for (let next = Number(seed); next < Number(seed) + Number(count); next++) {
		const bounds = {
			...(seconds === undefined ? {} : {durationMs: Number(seconds) * 1000}),
			...(instances === undefined ? {} : {instances: Number(instances)}),
		};
		const generate = plansStops === true ? generatePlannedStops : (isFleet === true ? generateFleetSchedule : generateSchedule);
		const hasPassed = await runSchedule(generate(next, bounds), program);
		breached.push(...(hasPassed ? [] : [next]));
	}

	console.log(breached.length === 0 ? `${count} schedules, none breached` : `${count} schedules, breached: ${breached.join(' ')}`);
	return breached.length === 0 ? exitCodes.passed : exitCodes.breached;
}

process.exitCode = await main();
