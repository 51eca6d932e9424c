/** Planned maintenance under load: stops a daemon and drains an upstream. */
import {setTimeout as delay} from 'node:timers/promises';
import type {DaemonProcess} from '../harness/daemon-process.js';
import type {Deployment} from '../harness/deployment.js';
import type {ProcessExit} from '../harness/node-process.js';
import type {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';
import {latestChangeAtMs, runCairnbankOrThrow} from './publish.js';

const pollIntervalMs = 5;
const quietPeriodMs = 1500;
const timeoutMs = 8000;

/** Stops a daemon as the platform does: lists it as leaving, then sends SIGTERM. */
export async function stopDaemon(deployment: Deployment, daemon: DaemonProcess): Promise<ProcessExit> {
	deployment.instanceList.put({
		id: daemon.id, role: 'entry', address: daemon.callersAddress, availabilityZone: daemon.availabilityZone, state: 'leaving',
	});
	const exit = await daemon.stop();
	deployment.instanceList.remove(daemon.id);
	return exit;
}

export type DrainEffect = {
	/** Number of requests that the upstream received before the drain. */
	readonly receivedBeforeDrain: number;
	/** Time from the append of the record to the log until the upstream's last new request. */
	readonly inForceMs: number;
};

/** Drains an upstream with `cairnbank drain` and measures how long it still receives requests. */
export async function drainUpstream(deployment: Deployment, upstream: UpstreamStandIn): Promise<DrainEffect> {
	const receivedBefore = upstream.counters.received;
	const lastRequest = waitForLastRequest(upstream);
	await runCairnbankOrThrow(deployment, ['drain', upstream.options.id]);
	const acceptedAtMs = latestChangeAtMs(deployment);
	const latestAtMs = await lastRequest;
	return {receivedBeforeDrain: receivedBefore, inForceMs: Math.max(0, latestAtMs - acceptedAtMs)};
}

/** Waits until no request has arrived for a while; resolves with the time of the last one, in milliseconds since the epoch. */
async function waitForLastRequest(upstream: UpstreamStandIn): Promise<number> {
	const endMs = Date.now() + timeoutMs;
	let latestAtMs = Date.now();
	let {received} = upstream.counters;
	while (Date.now() - latestAtMs < quietPeriodMs && Date.now() < endMs) {
		await delay(pollIntervalMs);
		if (upstream.counters.received !== received) {
			received = upstream.counters.received;
			latestAtMs = Date.now();
		}
	}

	return latestAtMs;
}
