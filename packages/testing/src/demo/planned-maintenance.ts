/** Planned work under load: a daemon that stops, an upstream that drains. */
import {setTimeout as delay} from 'node:timers/promises';
import type {DaemonProcess} from '../harness/daemon-process.js';
import type {Deployment} from '../harness/deployment.js';
import type {ProcessExit} from '../harness/node-process.js';
import type {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';
import {latestChangeAtMs, runCairnbankOrThrow} from './publish.js';

const pollMs = 5;
const quietMs = 1500;
const limitMs = 8000;

/** Stops a daemon as the platform does: listed as leaving, then SIGTERM. */
export async function stopDaemon(deployment: Deployment, daemon: DaemonProcess): Promise<ProcessExit> {
	deployment.instanceList.put({
		id: daemon.id, role: 'entry', address: daemon.callersAddress, availabilityZone: daemon.availabilityZone, state: 'leaving',
	});
	const exit = await daemon.stop();
	deployment.instanceList.remove(daemon.id);
	return exit;
}

export type DrainEffect = {
	/** Requests that it had received before. */
	readonly receivedBeforeDrain: number;
	/** From the record's append to the log until its last new request. */
	readonly inForceMs: number;
};

/** Drains an upstream with `cairnbank drain` and watches what it still receives. */
export async function drainUpstream(deployment: Deployment, upstream: UpstreamStandIn): Promise<DrainEffect> {
	const receivedBefore = upstream.counters.received;
	const watching = waitForLastRequest(upstream);
	await runCairnbankOrThrow(deployment, ['drain', upstream.options.id]);
	const acceptedAtMs = latestChangeAtMs(deployment);
	const latestAtMs = await watching;
	return {receivedBeforeDrain: receivedBefore, inForceMs: Math.max(0, latestAtMs - acceptedAtMs)};
}

/** When the upstream received its last request, in milliseconds since the epoch; waits until none came for a while. */
async function waitForLastRequest(upstream: UpstreamStandIn): Promise<number> {
	const endMs = Date.now() + limitMs;
	let latestAtMs = Date.now();
	let {received} = upstream.counters;
	while (Date.now() - latestAtMs < quietMs && Date.now() < endMs) {
		await delay(pollMs);
		if (upstream.counters.received !== received) {
			received = upstream.counters.received;
			latestAtMs = Date.now();
		}
	}

	return latestAtMs;
}
