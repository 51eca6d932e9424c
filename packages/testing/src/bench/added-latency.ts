/** What one daemon adds to a call, and how many calls it carries, against direct calls in the same run. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	authorSchema, changeSchema, recordIdSchema,
} from '@cairnbank/core';
import {HttpLogClient} from '@cairnbank/protocol/log';
import {publishChange} from '@cairnbank/protocol/publishing';
import {DaemonProcess} from '../harness/daemon-process.js';
import {NodeProcess} from '../harness/node-process.js';
import {InstanceListStandIn} from '../stand-ins/instance-list-stand-in.js';
import {LogStandIn} from '../stand-ins/log-stand-in.js';
import {topEntries, type ProfileEntry} from './cpu-profile.js';
import {medianOf} from './median.js';
import type {PathJob, PathReport} from './path-job.js';

const loadScript = fileURLToPath(new URL('path-load-main.js', import.meta.url));
const serverScript = fileURLToPath(new URL('direct-server-main.js', import.meta.url));
const service = 'bench';
const upstreamProcesses = 3;
const inFlight = 64;
const warmUpMs = 1500;
const profileEntries = 15;

export type AddedLatencyOptions = {
	readonly seconds: number;
	readonly repeats: number;
	readonly seed: number;
};

type Repeat = {
	readonly directHighest: PathReport;
	readonly daemonHighest: PathReport;
	readonly direct: PathReport;
	readonly daemon: PathReport;
	readonly addedP50Ms: number;
	readonly addedP99Ms: number;
	/** Highest rate through the daemon as a share of the direct one. */
	readonly rateRatio: number;
};

export type AddedLatencyResult = {
	readonly median: Repeat;
	readonly fixedCallsPerSecond: number;
	readonly profile: readonly ProfileEntry[];
};

async function runLoad(job: PathJob): Promise<PathReport> {
	const child = new NodeProcess({script: loadScript, standardInput: JSON.stringify(job), forwardsStandardError: true});
	const line = await child.waitForLine('path report', one => 'report' in one);
	await child.exited;
	return line.report as PathReport;
}

/** Runs everything; the daemon writes a CPU profile when it ends. */
export async function measureAddedLatency(options: AddedLatencyOptions): Promise<AddedLatencyResult> {
	const log = await new LogStandIn().start();
	const list = await new InstanceListStandIn().start();
	const servers = Array.from({length: upstreamProcesses}, () => new NodeProcess({script: serverScript, forwardsStandardError: true}));
	const ready = await Promise.all(servers.map(async server => server.waitForLine('server listens', line => 'address' in line)));
	const addresses = ready.map(line => String(line.address));
	const folder = await mkdtemp(path.join(tmpdir(), 'cairnbank-profile-'));
	const daemon = await startDaemon(log.url, list.url, folder, addresses);
	try {
		const measured = await repeatAll(options, addresses[0]!, daemon.callersAddress);
		await daemon.stop();
		return {...measured, profile: await topEntries(folder, profileEntries)};
	} finally {
		await daemon.kill();
		for (const server of servers) {
			server.kill('SIGTERM');
		}

		await list.stop();
		await log.stop();
		await rm(folder, {recursive: true});
	}
}

async function startDaemon(logUrl: string, instanceListUrl: string, folder: string, addresses: readonly string[]): Promise<DaemonProcess> {
	const daemon = await DaemonProcess.start({
		id: 'entry-1', availabilityZone: 'zone-a', logUrl, instanceListUrl, nodeOptions: ['--cpu-prof', `--cpu-prof-dir=${folder}`],
	});
	const upstreams = addresses.map((address, index) => ({
		id: `bench-${index}`, address, availabilityZone: 'zone-a', slots: inFlight, connections: 1000,
	}));
	const verdict = await publishChange(new HttpLogClient({url: logUrl}), {
		change: changeSchema.parse({kind: 'inventory', services: [{id: service, upstreams}]}), author: authorSchema.parse('bench'), id: recordIdSchema.parse('bench-1'),
	});
	await daemon.waitForConfiguration('offset' in verdict ? verdict.offset : 1);
	return daemon;
}

async function repeatAll({seconds, repeats, seed}: AddedLatencyOptions, direct: string, through: string) {
	const measuredMs = seconds * 1000;
	const paths = {
		direct: {origin: `http://${direct}`, path: '/item'},
		daemon: {origin: `http://${through}`, path: `/${service}/item`},
	};
	const highest = async (which: 'direct' | 'daemon') => runLoad({
		...paths[which], type: 'highest-rate', inFlight, warmUpMs, measuredMs,
	});
	// One fixed rate for all repeats: half of the highest rate through the daemon, found first.
	const first = await highest('daemon');
	const callsPerSecond = Math.round(first.callsPerSecond / 2);
	const fixed = async (which: 'direct' | 'daemon') => runLoad({
		...paths[which], type: 'fixed-rate', callsPerSecond, seed, warmUpMs, measuredMs,
	});
	const all: Repeat[] = [];
	for (let repeat = 0; repeat < repeats; repeat += 1) {
		const one = {
			directHighest: await highest('direct'), daemonHighest: await highest('daemon'), direct: await fixed('direct'), daemon: await fixed('daemon'),
		};
		all.push({
			...one,
			addedP50Ms: one.daemon.p50Ms - one.direct.p50Ms,
			addedP99Ms: one.daemon.p99Ms - one.direct.p99Ms,
			rateRatio: one.daemonHighest.callsPerSecond / one.directHighest.callsPerSecond,
		});
	}

	return {median: medianOf(all), fixedCallsPerSecond: callsPerSecond};
}
