/** Times changes from their acceptance until real daemons have them in force, and what that costs a daemon. */
import {readFileSync} from 'node:fs';
import {drainChangeSchema, type Change} from '@cairnbank/core';
import {request} from 'undici';
import type {DaemonProcess} from '../harness/daemon-process.js';
import {Deployment} from '../harness/deployment.js';
import {sampleInventory} from './sample-inventory.js';
import {median} from './statistics.js';

const secondsAtRest = 10;
const msPerSecond = 1000;
const longestWaitMs = 60_000;
/** A scrape is dear with many upstreams; it is over by then. */
const settleMs = 2000;
/** Long enough for the reads that wait longer. */
const hangMs = 12_000;
const msPerTick = 10;
/** Places in `/proc/PID/stat` after the program's name. */
const [userTimeField, systemTimeField] = [11, 12];
/** What ships, where the harness has shorter ones. */
const shippedIntervals = {instanceList: {pollIntervalMs: 1000}};

export type SpreadOptions = {
	readonly daemons: number;
	readonly upstreams: number;
	readonly services: number;
	/** Changes of inventory; twice as many drains. */
	readonly changes: number;
	/** Pairs of drains right after the log had hung. */
	readonly outages: number;
};

export type Spread = {
	readonly daemons: number;
	readonly inventoryMedianMs: number;
	readonly inventoryMaximumMs: number;
	readonly drainMedianMs: number;
	readonly drainMaximumMs: number;
	/** A change right after the log had hung: reads begun before are never answered. */
	readonly afterHangMedianMs: number;
	readonly afterHangMaximumMs: number;
	/** Means over the daemons. */
	readonly cpuMsPerInventory: number;
	readonly cpuMsPerDrain: number;
	readonly restCpuMsPerSecond: number;
	readonly restLogBytesPerSecond: number;
	readonly restPeerBytesPerSecond: number;
	readonly residentMegabytes: number;
	/** From the start of one more daemon until it has the configuration in force. */
	readonly startFromLogMs: number;
	readonly startFromPeersMs: number;
};

type Totals = {
	readonly logBytes: number;
	readonly peerBytes: number;
	readonly residentMegabytes: number;
};

async function readTotals({admin}: DaemonProcess): Promise<Totals> {
	const {body} = await request(`http://${admin}/metrics`);
	const lines = (await body.text()).split('\n'); // eslint-disable-line unicorn/no-await-expression-member -- text is all that is wanted
	const sum = (name: string) => lines.filter(line => line.startsWith(name)).reduce((total, line) => total + Number(line.split(' ').at(-1)), 0);
	return {
		logBytes: sum('cairnbank_control_bytes_total{channel="log"'),
		peerBytes: sum('cairnbank_control_bytes_total{channel="peers"'),
		residentMegabytes: sum('process_resident_memory_bytes') / 1_000_000,
	};
}

/** Processor time by the system's own count, as a scrape costs some itself. */
function meanCpuMs(daemons: readonly DaemonProcess[]): number {
	const ticks = daemons.map(daemon => {
		const [, text = ''] = readFileSync(`/proc/${daemon.process.pid}/stat`, 'utf8').split(') ');
		const fields = text.split(' ');
		return Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	});
	return ticks.reduce((total, one) => total + one, 0) * msPerTick / daemons.length;
}

async function pause(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

async function meanTotals(daemons: readonly DaemonProcess[]): Promise<Totals> {
	const all = await Promise.all(daemons.map(async daemon => readTotals(daemon)));
	const mean = (of: (totals: Totals) => number) => all.reduce((total, one) => total + of(one), 0) / all.length;
	return {
		logBytes: mean(one => one.logBytes),
		peerBytes: mean(one => one.peerBytes),
		residentMegabytes: mean(one => one.residentMegabytes),
	};
}

async function timeNextAppend(deployment: Deployment): Promise<number> {
	await deployment.log.stream('configuration').waitForAppend(longestWaitMs);
	return performance.now();
}

/** Times from the log taking each record to the last daemon's word of it. */
async function timeChanges(deployment: Deployment, changes: readonly Change[]): Promise<number[]> {
	const durations: number[] = [];
	for (const change of changes) {
		const accepted = timeNextAppend(deployment);
		await deployment.publish(change);
		const inForceAtMs = performance.now();
		durations.push(inForceAtMs - await accepted);
	}

	return durations;
}

async function timeChangesAfterHang(deployment: Deployment, changes: readonly Change[]): Promise<number[]> {
	const durations: number[] = [];
	for (const change of changes) {
		await deployment.log.setFaults({down: 'hang'});
		await pause(hangMs);
		await deployment.log.setFaults({down: 'no'});
		durations.push(...await timeChanges(deployment, [change]));
	}

	return durations;
}

async function timeStart(deployment: Deployment, id: string, offset: number): Promise<number> {
	const startMs = performance.now();
	const daemon = await deployment.startDaemon(id, 'zone-a');
	await daemon.configurationInForce(offset);
	return performance.now() - startMs;
}

/** So many pairs of a drain of one upstream and its end. */
function drainPairs(count: number): Change[] {
	return Array.from({length: 2 * count}, (_, index) =>
		drainChangeSchema.parse({kind: 'drain', upstream: 'service-0-upstream-0', draining: index % 2 === 0}));
}

export async function measureSpread({daemons, upstreams, services, changes, outages}: SpreadOptions): Promise<Spread> {
	const deployment = await Deployment.start({services: [], daemons, settings: shippedIntervals});
	try {
		const inventories = Array.from({length: changes}, (_, index) => sampleInventory(upstreams, services, index + 1));
		await deployment.publish(sampleInventory(upstreams, services));
		await pause(settleMs);
		const startCpuMs = meanCpuMs(deployment.daemons);
		const inventoryTimes = await timeChanges(deployment, inventories);
		const inventoryCpuMs = meanCpuMs(deployment.daemons);
		const drainTimes = await timeChanges(deployment, drainPairs(changes));
		const drainCpuMs = meanCpuMs(deployment.daemons);
		const before = await meanTotals(deployment.daemons);
		await pause(settleMs);
		const restStartCpuMs = meanCpuMs(deployment.daemons);
		await pause(secondsAtRest * msPerSecond);
		const restEndCpuMs = meanCpuMs(deployment.daemons);
		const rested = await meanTotals(deployment.daemons);
		const restedSeconds = secondsAtRest + (settleMs / msPerSecond);
		const afterHangTimes = await timeChangesAfterHang(deployment, drainPairs(outages));
		const offset = deployment.log.stream('configuration').endOffset;
		const startFromLogMs = await timeStart(deployment, 'entry-from-log', offset);
		await deployment.log.setFaults({down: 'refuse'});
		const startFromPeersMs = await timeStart(deployment, 'entry-from-peers', offset);
		return {
			daemons,
			inventoryMedianMs: median(inventoryTimes),
			inventoryMaximumMs: Math.max(...inventoryTimes),
			drainMedianMs: median(drainTimes),
			drainMaximumMs: Math.max(...drainTimes),
			afterHangMedianMs: median(afterHangTimes),
			afterHangMaximumMs: Math.max(...afterHangTimes),
			cpuMsPerInventory: (inventoryCpuMs - startCpuMs) / changes,
			cpuMsPerDrain: (drainCpuMs - inventoryCpuMs) / (2 * changes),
			restCpuMsPerSecond: (restEndCpuMs - restStartCpuMs) / secondsAtRest,
			restLogBytesPerSecond: (rested.logBytes - before.logBytes) / restedSeconds,
			restPeerBytesPerSecond: (rested.peerBytes - before.peerBytes) / restedSeconds,
			residentMegabytes: rested.residentMegabytes,
			startFromLogMs,
			startFromPeersMs,
		};
	} finally {
		await deployment.stop();
	}
}
