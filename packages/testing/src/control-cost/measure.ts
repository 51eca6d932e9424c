/** What control costs one fleet, and how fast news gets round in it. */
import {setTimeout as delay} from 'node:timers/promises';
import type {Change} from '@cairnbank/core';
import type {DaemonProcess} from '../harness/daemon-process.js';
import type {Deployment} from '../harness/deployment.js';
import {waitFor} from '../harness/wait-for.js';
import {scrape, type Channel, type Scrape} from './scrape.js';
import {mean} from './statistics.js';

const pollMs = 25;
const limitMs = 60_000;
const msPerSecond = 1000;
const percent = 100;

export type IdleCost = {
	/** Mean over the daemons, both directions together. */
	readonly bytesPerSecond: number;
	readonly greatestBytesPerSecond: number;
	readonly byChannel: Readonly<Record<Channel, number>>;
	readonly cpuPercent: number;
	readonly residentBytes: number;
};

function total(bytes: Scrape['controlBytes']): number {
	return bytes.peers + bytes.log + bytes['instance-list'];
}

function running(deployment: Deployment): DaemonProcess[] {
	return deployment.daemons.filter(daemon => daemon.process.exit === undefined);
}

/** Control of an idle fleet over a time. */
export async function measureIdle(deployment: Deployment, windowMs: number): Promise<IdleCost> {
	const daemons = running(deployment);
	const before = await Promise.all(daemons.map(async daemon => scrape(daemon.admin)));
	await delay(windowMs);
	const after = await Promise.all(daemons.map(async daemon => scrape(daemon.admin)));
	const rates = after.map((end, index) => {
		const start = before[index]!;
		const seconds = (end.atMs - start.atMs) / msPerSecond;
		const rateOf = (channel: Channel) => (end.controlBytes[channel] - start.controlBytes[channel]) / seconds;
		return {
			all: (total(end.controlBytes) - total(start.controlBytes)) / seconds,
			peers: rateOf('peers'),
			log: rateOf('log'),
			list: rateOf('instance-list'),
			cpuPercent: (end.cpuSeconds - start.cpuSeconds) / seconds * percent,
		};
	});
	return {
		bytesPerSecond: mean(rates.map(({all}) => all)),
		greatestBytesPerSecond: Math.max(...rates.map(({all}) => all)),
		byChannel: {peers: mean(rates.map(({peers}) => peers)), log: mean(rates.map(({log}) => log)), 'instance-list': mean(rates.map(({list}) => list))},
		cpuPercent: mean(rates.map(({cpuPercent}) => cpuPercent)),
		residentBytes: mean(after.map(({residentBytes}) => residentBytes)),
	};
}

/** What one change costs a daemon beyond being idle, means over the daemons. */
export type ChangeCost = {
	readonly cpuMs: number;
	readonly bytes: number;
	readonly inForceMs: number;
};

const changeSettleMs = 1000;

/** Publishes a change, waits until it is in force everywhere, and takes off what an idle time as long costs. */
export async function measureChange(deployment: Deployment, change: Change, idle: IdleCost): Promise<ChangeCost> {
	const daemons = running(deployment);
	const before = await Promise.all(daemons.map(async daemon => scrape(daemon.admin)));
	const startMs = performance.now();
	await deployment.publish(change);
	const inForceMs = performance.now() - startMs;
	await delay(changeSettleMs);
	const after = await Promise.all(daemons.map(async daemon => scrape(daemon.admin)));
	const costs = after.map((end, index) => {
		const start = before[index]!;
		const seconds = (end.atMs - start.atMs) / msPerSecond;
		return {
			cpuMs: ((end.cpuSeconds - start.cpuSeconds) * msPerSecond) - (idle.cpuPercent / percent * seconds * msPerSecond),
			bytes: total(end.controlBytes) - total(start.controlBytes) - (idle.bytesPerSecond * seconds),
		};
	});
	return {cpuMs: mean(costs.map(({cpuMs}) => cpuMs)), bytes: mean(costs.map(({bytes}) => bytes)), inForceMs};
}

/** From the first answer with the mark, at any daemon, until all daemons know; the list says nothing for its lag. */
export async function measureDrain(deployment: Deployment, upstreamIndex: number): Promise<number> {
	const upstream = deployment.upstreams[upstreamIndex]!;
	const daemons = running(deployment);
	await upstream.setFaults({draining: true});
	const knows = (daemon: DaemonProcess) => daemon.lines.find(line => line.event === 'upstream draining' && line.upstream === upstream.options.id);
	// Not every daemon chooses every upstream, so they are asked in turn until one has seen the mark.
	let turn = 0;
	await waitFor('an answer carries the mark', async () => {
		await deployment.caller.call({instance: daemons[turn % daemons.length]!.callers, path: '/ledger/balance'});
		turn += 1;
		return daemons.some(daemon => knows(daemon) !== undefined);
	});
	await waitFor('all daemons know the mark', () => daemons.every(daemon => knows(daemon) !== undefined), limitMs);
	const times = daemons.map(daemon => Date.parse(String(knows(daemon)!.time)));
	return Math.max(...times) - Math.min(...times);
}

/** From a kill until no daemon names the instance to callers; then another takes its place. */
export async function measureLoss(deployment: Deployment, daemon: DaemonProcess): Promise<number> {
	const {callers, id, availabilityZone} = daemon;
	const before = running(deployment).filter(other => other !== daemon);
	await waitFor('all name the instance', async () => {
		const named = await Promise.all(before.map(async other => offers(deployment, other, callers)));
		return named.every(Boolean);
	}, limitMs);
	await daemon.kill();
	const startMs = performance.now();
	const others = running(deployment);
	const silent = new Map<DaemonProcess, number>();
	while (silent.size < others.length && performance.now() - startMs < limitMs) {
		await delay(pollMs);
		const naming = others.filter(one => !silent.has(one));
		const named = await Promise.all(naming.map(async other => offers(deployment, other, callers)));
		const atMs = performance.now() - startMs;
		for (const other of naming.filter((_, index) => !named[index])) {
			silent.set(other, atMs);
		}
	}

	await deployment.startDaemon(id, availabilityZone);
	return silent.size === others.length ? Math.max(...silent.values()) : Number.POSITIVE_INFINITY;
}

async function offers(deployment: Deployment, daemon: DaemonProcess, callers: string): Promise<boolean> {
	const answer = await deployment.caller.call({instance: daemon.callers, path: '/.well-known/cairnbank/addresses'});
	return answer.type !== 'cut' && answer.body.includes(`"${callers}"`);
}
