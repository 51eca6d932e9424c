/** Measures the latency that one daemon adds to a call, and its highest call rate, compared with direct calls in the same run. */
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
import {readTopEntries, type ProfileEntry} from './cpu-profile.js';
import {medianOfFields} from './median.js';
import type {AddedLatencyJob, AddedLatencyReport} from './added-latency-job.js';

const loadScript = fileURLToPath(new URL('added-latency-load-main.js', import.meta.url));
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

type RepeatResult = {
	readonly directHighest: AddedLatencyReport;
	readonly daemonHighest: AddedLatencyReport;
	readonly direct: AddedLatencyReport;
	readonly daemon: AddedLatencyReport;
	readonly addedP50Ms: number;
	readonly addedP99Ms: number;
	/** Highest rate through the daemon divided by the highest direct rate. */
	readonly rateRatio: number;
};

export type AddedLatencyResult = {
	readonly median: RepeatResult;
	readonly fixedCallsPerSecond: number;
	readonly profile: readonly ProfileEntry[];
};

async function runLoad(job: AddedLatencyJob): Promise<AddedLatencyReport> {
	const child = new NodeProcess({script: loadScript, standardInput: JSON.stringify(job), forwardsStandardError: true});
	const line = await child.waitForLine('load report', one => 'report' in one);
	await child.exited;
	return line.report as AddedLatencyReport;
}

/** Runs the whole measurement. The daemon writes a CPU profile when it exits. */
export async function measureAddedLatency(options: AddedLatencyOptions): Promise<AddedLatencyResult> {
	const log = await new LogStandIn().start();
	const list = await new InstanceListStandIn().start();
	const servers = Array.from({length: upstreamProcesses}, () => new NodeProcess({script: serverScript, forwardsStandardError: true}));
	const ready = await Promise.all(servers.map(async server => server.waitForLine('server listens', line => 'address' in line)));
	const addresses = ready.map(line => String(line.address));
	const folder = await mkdtemp(path.join(tmpdir(), 'cairnbank-profile-'));
	const daemon = await startDaemon(log.url, list.url, folder, addresses);
	try {
		const measured = await measureRepeats(options, addresses[0]!, daemon.callersAddress);
		await daemon.stop();
		return {...measured, profile: await readTopEntries(folder, profileEntries)};
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

async function measureRepeats({seconds, repeats, seed}: AddedLatencyOptions, direct: string, through: string) {
	const measuredMs = seconds * 1000;
	const paths = {
		direct: {origin: `http://${direct}`, path: '/item'},
		daemon: {origin: `http://${through}`, path: `/${service}/item`},
	};
	const highest = async (which: 'direct' | 'daemon') => runLoad({
		...paths[which], type: 'highest-rate', inFlight, warmUpMs, measuredMs,
	});
	// All repeats use one fixed rate: half of the highest rate through the daemon, which is measured first.
	const first = await highest('daemon');
	const callsPerSecond = Math.round(first.callsPerSecond / 2);
	const fixed = async (which: 'direct' | 'daemon') => runLoad({
		...paths[which], type: 'fixed-rate', callsPerSecond, seed, warmUpMs, measuredMs,
	});
	const all: RepeatResult[] = [];
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

	return {median: medianOfFields(all), fixedCallsPerSecond: callsPerSecond};
}
