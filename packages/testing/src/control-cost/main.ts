/** `node main.js [--daemons 3,7,13,19,40] [--upstreams 60] [--runs 5]`: cost of control and spread of news. */
import process from 'node:process';
import {cac} from 'cac';
import Table from 'cli-table3';
import {startFleet} from './fleet.js';
import {
	measureChange, measureDrain, measureIdle, measureLoss, type ChangeCost, type IdleCost,
} from './measure.js';
import {spreadOf, type Spread} from './statistics.js';

const windowMs = 8000;
const listLagMs = 10_000;
const firstChangedSlots = 5;
const bytesPerKibibyte = 1024;
const bytesPerMebibyte = 1_048_576;

type Options = {
	readonly daemons: string;
	readonly upstreams: string;
	readonly runs: string;
};

async function repeat<Value>(runs: number, measure: (run: number) => Promise<Value>): Promise<Value[]> {
	const values: Value[] = [];
	for (let run = 0; run < runs; run += 1) {
		values.push(await measure(run));
	}

	return values;
}

function show({median, least, greatest}: Spread, digits = 0): string {
	return `${median.toFixed(digits)} (${least.toFixed(digits)}-${greatest.toFixed(digits)})`;
}

function idleCells(idle: readonly IdleCost[]): string[] {
	const of = (field: (cost: IdleCost) => number, digits = 0) => show(spreadOf(idle.map(cost => field(cost))), digits);
	return [
		of(cost => cost.bytesPerSecond),
		of(cost => cost.greatestBytesPerSecond),
		of(cost => cost.byChannel.peers),
		of(cost => cost.byChannel['instance-list']),
		of(cost => cost.byChannel.log),
		of(cost => cost.cpuPercent, 2),
		of(cost => cost.residentBytes / bytesPerMebibyte),
	];
}

function changeCells(changes: readonly ChangeCost[]): string[] {
	return [
		show(spreadOf(changes.map(({cpuMs}) => cpuMs)), 1),
		show(spreadOf(changes.map(({bytes}) => bytes / bytesPerKibibyte)), 1),
		show(spreadOf(changes.map(({inForceMs}) => inForceMs))),
	];
}

async function measureFleet(daemons: number, upstreams: number, runs: number): Promise<string[]> {
	const {deployment, inventory} = await startFleet({
		daemons, upstreams, realUpstreams: runs + 1, listLagMs,
	});
	try {
		const idle = await repeat(runs, async () => measureIdle(deployment, windowMs));
		const changes = await repeat(runs, async run => measureChange(deployment, inventory(firstChangedSlots + run), idle[run]!));
		const drains = await repeat(runs, async run => measureDrain(deployment, run));
		const losses = await repeat(runs, async () => measureLoss(deployment, deployment.daemons.findLast(daemon => daemon.process.exit === undefined)!));
		return [String(daemons), String(upstreams), ...idleCells(idle), ...changeCells(changes), show(spreadOf(drains)), show(spreadOf(losses))];
	} finally {
		await deployment.stop();
	}
}

const cli = cac('control-cost');
cli.option('--daemons <counts>', 'Sizes of the fleet', {default: '3,7,13,19,40'});
cli.option('--upstreams <counts>', 'Sizes of the inventory', {default: '60'});
cli.option('--runs <count>', 'Runs of each measurement', {default: '5'});
cli.help();
const parsed = cli.parse().options;
if (!parsed.help) {
	const options = parsed as unknown as Options;
	const numbersOf = (text: string) => String(text).split(',').map(Number);
	const table = new Table({
		head: [
			'daemons',
			'upstreams',
			'B/s per node',
			'B/s greatest node',
			'peers B/s',
			'list B/s',
			'log B/s',
			'CPU %',
			'RSS MiB',
			'CPU ms per change',
			'KiB per change',
			'change in force ms',
			'drain known ms',
			'loss not offered ms',
		],
	});
	for (const upstreams of numbersOf(options.upstreams)) {
		for (const daemons of numbersOf(options.daemons)) {
			const row = await measureFleet(daemons, upstreams, Number(options.runs));
			process.stdout.write(`${row.join(' | ')}\n`);
			table.push(row);
		}
	}

	process.stdout.write(`${table.toString()}\n`);
}
