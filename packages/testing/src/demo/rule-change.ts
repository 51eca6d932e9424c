/** Publishes a rule change under load and measures when it takes effect on each daemon, by the deadlines that upstreams receive. */
import type {Rules} from '@cairnbank/core';
import type {DaemonProcess} from '../harness/daemon-process.js';
import type {Deployment} from '../harness/deployment.js';
import {waitFor} from '../harness/wait-for.js';
import {latestChangeAtMs, publish} from './publish.js';

const changedClass = 'archived-ledger';
const path = '/records/archive/1';
const newDeadlineMs = 30_000;

export type RuleChangeEffect = {
	/** Time from the append of the record to the log until the rule takes effect, by daemon id. */
	readonly inForceMs: ReadonlyMap<string, number>;
};

function withNewDeadline(rules: Rules): Rules {
	return {
		...rules,
		classes: rules.classes.map(requestClass => requestClass.id === changedClass ? {...requestClass, deadlineMs: newDeadlineMs} : requestClass),
	};
}

/** Returns the remaining time that an upstream received for a call through this daemon. */
async function observeDeadlineMs(deployment: Deployment, daemon: DaemonProcess): Promise<number> {
	const response = await deployment.caller.call({instance: daemon.callersAddress, path});
	return response.type === 'answered' ? (JSON.parse(response.body) as {remainingMs: number}).remainingMs : Number.POSITIVE_INFINITY;
}

/** Publishes a new deadline for a request class and waits until all running daemons apply it. */
export async function changeRule(deployment: Deployment, rules: Rules): Promise<RuleChangeEffect> {
	const running = deployment.daemons.filter(daemon => daemon.process.exit === undefined);
	const effects = running.map(async daemon => {
		await waitFor(`rule in force on ${daemon.id}`, async () => await observeDeadlineMs(deployment, daemon) <= newDeadlineMs);
		return {id: daemon.id, inForceAtMs: Date.now()};
	});
	await publish(deployment, withNewDeadline(rules));
	const acceptedAtMs = latestChangeAtMs(deployment);
	const inForce = await Promise.all(effects);
	return {inForceMs: new Map(inForce.map(({id, inForceAtMs}) => [id, Math.max(0, inForceAtMs - acceptedAtMs)]))};
}
