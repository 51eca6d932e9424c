/** `node memory-main.js`: resident memory of a daemon by calls in flight and by idle connections, medians of 5 daemons. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import Table from 'cli-table3';
import {Agent} from 'undici';
import {scrape} from '../control-cost/scrape.js';
import {spreadOf} from '../control-cost/statistics.js';
import {Deployment} from '../harness/deployment.js';
import {waitFor} from '../harness/wait-for.js';
import {HeldUpstreams} from './held-upstreams.js';

const levels = [0, 500, 1000, 2000];
const runs = 5;
const upstreams = 50;
const connectionsPerUpstream = 4000;
const deadlineMs = 60_000;
const settleMs = 1500;
const bytesPerMebibyte = 1_048_576;

type Level = {
	readonly calls: number;
	readonly inFlightMiB: number;
	readonly idleMiB: number;
};

async function residentMiB(deployment: Deployment): Promise<number> {
	await delay(settleMs);
	const {residentBytes} = await scrape(deployment.daemons[0]!.admin);
	return residentBytes / bytesPerMebibyte;
}

async function measureLevel(deployment: Deployment, held: HeldUpstreams, calls: number): Promise<Level> {
	const agent = new Agent({connections: calls, pipelining: 1, keepAliveTimeout: deadlineMs});
	const origin = `http://${deployment.daemons[0]!.callers}`;
	const running = Array.from({length: calls}, async () => {
		const {body} = await agent.request({
			origin, path: '/ledger/balance', method: 'GET', headers: {'cairnbank-deadline-ms': String(deadlineMs)},
		});
		await body.dump();
	});
	await waitFor('all calls are at upstreams', () => held.held === calls, deadlineMs);
	const inFlightMiB = await residentMiB(deployment);
	held.letGo();
	await Promise.all(running);
	const idleMiB = await residentMiB(deployment);
	await agent.destroy();
	return {calls, inFlightMiB, idleMiB};
}

/** A fresh daemon for each level, as held calls look to its limits like an overload. */
async function measureDaemon(calls: number): Promise<Level> {
	const held = new HeldUpstreams(upstreams);
	const addresses = await held.start();
	const deployment = await Deployment.start({services: [], daemons: 1});
	try {
		await deployment.publish({
			kind: 'inventory',
			services: [{
				id: 'ledger',
				upstreams: addresses.map((address, index) => ({
					id: `ledger-${index}`, address, availabilityZone: 'zone-a', slots: 1000, connections: connectionsPerUpstream,
				})),
			}],
		});
		return await measureLevel(deployment, held, calls);
	} finally {
		held.stop();
		await deployment.stop();
	}
}

function show(values: readonly number[]): string {
	const {median, least, greatest} = spreadOf(values);
	return `${median.toFixed(0)} (${least.toFixed(0)}-${greatest.toFixed(0)})`;
}

const table = new Table({head: ['calls', 'RSS MiB in flight', 'RSS MiB after, connections idle']});
for (const calls of levels) {
	const measured: Level[] = [];
	for (let run = 0; run < runs; run += 1) {
		measured.push(await measureDaemon(calls));
	}

	table.push([String(calls), show(measured.map(level => level.inFlightMiB)), show(measured.map(level => level.idleMiB))]);
}

process.stdout.write(`${table.toString()}\n`);
