/** Publishes a rule change under load and watches it take effect on each daemon, in what upstreams receive. */
import type {Rules} from '@cairnbank/core';
import type {DaemonProcess} from '../harness/daemon-process.js';
import type {Deployment} from '../harness/deployment.js';
import {waitFor} from '../harness/wait-for.js';
import {latestChangeAtMs, publish} from './publish.js';

const changedClass = 'archived-ledger';
const path = '/records/archive/1';
const newDeadlineMs = 30_000;

export type RuleChangeEffect = {
	/** From the record's append to the log until each daemon works by it, by daemon. */
	readonly inForceMs: ReadonlyMap<string, number>;
};

function withNewDeadline(rules: Rules): Rules {
	return {
		...rules,
		classes: rules.classes.map(one => one.id === changedClass ? {...one, deadlineMs: newDeadlineMs} : one),
	};
}

/** The deadline that an upstream saw for a call through this daemon. */
async function observeDeadlineMs(deployment: Deployment, daemon: DaemonProcess): Promise<number> {
	const told = await deployment.caller.call({instance: daemon.callersAddress, path});
	return told.type === 'answered' ? (JSON.parse(told.body) as {remainingMs: number}).remainingMs : Number.POSITIVE_INFINITY;
}

export async function changeRule(deployment: Deployment, rules: Rules): Promise<RuleChangeEffect> {
	const running = deployment.daemons.filter(daemon => daemon.process.exit === undefined);
	const watched = running.map(async daemon => {
		await waitFor(`the rule in force on ${daemon.id}`, async () => await observeDeadlineMs(deployment, daemon) <= newDeadlineMs);
		return {id: daemon.id, inForceAtMs: Date.now()};
	});
	await publish(deployment, withNewDeadline(rules));
	const acceptedAtMs = latestChangeAtMs(deployment);
	const inForce = await Promise.all(watched);
	return {inForceMs: new Map(inForce.map(({id, inForceAtMs}) => [id, Math.max(0, inForceAtMs - acceptedAtMs)]))};
}
