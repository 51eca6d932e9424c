/** `node processor-main.js`: processor time that one call costs a daemon, by calls at a time; medians of 5 windows. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import Table from 'cli-table3';
import {Agent} from 'undici';
import {scrape} from '../control-cost/scrape.js';
import {spreadOf, type Spread} from '../control-cost/statistics.js';
import {Deployment} from '../harness/deployment.js';

const levels = [4, 16, 64];
const windows = 5;
const windowMs = 4000;
const upstreams = 24;
const answer = 'x'.repeat(1024);
const microsecondsPerSecond = 1_000_000;
const msPerSecond = 1000;

type Window = {
	readonly callsPerSecond: number;
	readonly cpuMicrosecondsPerCall: number;
	readonly cpuRatio: number;
};

async function startUpstreams() {
	const servers = Array.from({length: upstreams}, () => createServer({keepAliveTimeout: 0}, (_request, response) => {
		response.end(answer);
	}));
	await Promise.all(servers.map(async server => new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	})));
	return servers;
}

/** Each of `calls` callers asks again as soon as it is answered. @returns how many calls were answered with 200 */
async function callUntil(endMs: number, agent: Agent, origin: string, calls: number): Promise<number> {
	const callers = Array.from({length: calls}, async () => {
		let answered = 0;
		while (performance.now() < endMs) {
			const {statusCode, body} = await agent.request({origin, path: '/ledger/balance', method: 'GET'});
			await body.dump();
			answered += Number(statusCode === 200);
		}

		return answered;
	});
	const counts = await Promise.all(callers);
	return counts.reduce((sum, count) => sum + count, 0);
}

async function measureWindow(deployment: Deployment, agent: Agent, calls: number): Promise<Window> {
	const daemon = deployment.daemons[0]!;
	const before = await scrape(daemon.admin);
	const answered = await callUntil(performance.now() + windowMs, agent, `http://${daemon.callers}`, calls);
	const after = await scrape(daemon.admin);
	const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
	const seconds = (after.atMs - before.atMs) / msPerSecond;
	return {
		callsPerSecond: answered / seconds, cpuMicrosecondsPerCall: cpuSeconds / answered * microsecondsPerSecond, cpuRatio: cpuSeconds / seconds,
	};
}

function show({median, least, greatest}: Spread, digits = 0): string {
	return `${median.toFixed(digits)} (${least.toFixed(digits)}-${greatest.toFixed(digits)})`;
}

const servers = await startUpstreams();
const deployment = await Deployment.start({services: [], daemons: 1});
const table = new Table({head: ['calls at a time', 'calls/s', 'processor µs per call', 'cores used']});
try {
	await deployment.publish({
		kind: 'inventory',
		services: [{
			id: 'ledger',
			upstreams: servers.map((server, index) => ({
				id: `ledger-${index}`,
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				availabilityZone: 'zone-a',
				slots: 16,
				connections: 800,
			})),
		}],
	});
	for (const calls of levels) {
		const agent = new Agent({connections: calls, pipelining: 1});
		await measureWindow(deployment, agent, calls);
		const measured: Window[] = [];
		for (let window = 0; window < windows; window += 1) {
			measured.push(await measureWindow(deployment, agent, calls));
		}

		table.push([
			String(calls),
			show(spreadOf(measured.map(window => window.callsPerSecond))),
			show(spreadOf(measured.map(window => window.cpuMicrosecondsPerCall))),
			show(spreadOf(measured.map(window => window.cpuRatio)), 2),
		]);
		await agent.destroy();
	}

	process.stdout.write(`${table.toString()}\n`);
} finally {
	for (const server of servers) {
		server.closeAllConnections();
		server.close();
	}

	await deployment.stop();
}
