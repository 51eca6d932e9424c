/** Two instances decide on the rate limit of one tenant at the same time, while two zones can't reach each other and a third reaches both. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {ownerOrder} from '../../packages/core/dist/account-limits/index.js';
import {
	ask, configuration, Deployment, route,
} from '../shared-2/deployment.mjs';
import {ZoneLinks} from '../shared-2/zone-links.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['khomas-a', 'khomas-b', 'khomas-c'];
const instanceCount = 27;
/** The dose of `bridge_cut` in the site file `nwpa-payruns-now-grown`. */
const cutMs = 5500;
const beforeCutMs = 7000;
const afterCutMs = 6000;
const ratePerS = 60;
const burst = 20;
/** The usual demand of a tenant is below its limit; \`hot_tenant\` multiplies it by 7.5 at most. */
const demandPerS = 240;
const windowMs = 5000;
const excess = 0.1;
const slack = 20;
const allowed = (((ratePerS * windowMs / 1000) + burst) * (1 + excess)) + slack;
const key = 'key-of-the-tenant';
/** Bounds of the site file `ecmru-refunds-grown`. */
const bounds = {
	graceSeconds: 6, maximumAddressTtlSeconds: 5, retryRatio: 0.2, retrySlack: 178, retryWindowSeconds: 10, probesPerSecond: 42,
};

const record = [];
const startedAtMs = performance.now();
function note(text, atMs = performance.now()) {
	record.push({atMs, text: `${((atMs - startedAtMs) / 1000).toFixed(3)} ${text}`});
}

/** Chooses a tenant whose owner is in one of the two zones, and whose next instance outside that zone is in the other one. */
function chooseTenant(deployment) {
	const hosts = Array.from({length: instanceCount}, (_, index) => deployment.hostOf(index));
	const zoneByHost = new Map(hosts.map((host, index) => [host, deployment.zoneOf(index)]));
	for (let number = 1; ; number++) {
		const tenant = `tenant-${number}`;
		const order = ownerOrder(tenant, hosts).map(host => zoneByHost.get(host));
		const next = order.find(zone => zone !== order[0]);
		if (order[0] !== zones[2] && next !== zones[2]) {
			return tenant;
		}
	}
}

const sentAtMs = new Map();
const statuses = new Map();

async function flood(deployment, endMs) {
	const pending = [];
	const beginMs = performance.now();
	for (let count = 0; performance.now() < endMs;) {
		const due = (performance.now() - beginMs) * demandPerS / 1000;
		for (; count < due; count++) {
			pending.push(send(deployment, count));
		}

		await delay(2);
	}

	await Promise.all(pending);
}

async function send(deployment, count) {
	const id = `r${count}`;
	const address = deployment.addressOf(count % instanceCount, 0);
	const atMs = performance.now();
	sentAtMs.set(id, atMs);
	const answer = await ask(address, '/claims/1', {
		host: 'pay.example', 'x-request-id': id, 'x-deadline-ms': '2000', authorization: `Bearer ${key}`,
	}, 2000);
	statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
	note(`${id} sent to ${address}, answered ${answer.status}`, atMs);
}

async function run(deployment, links) {
	const tenant = chooseTenant(deployment);
	note(`${tenant}, ${ratePerS} a second and a burst of ${burst}; ${allowed} may run in 5 s`);
	deployment.store.put('keyed.op', 'config', configuration('r1', [route('claims', '/claims/', 'refund-desk')], ['refund-desk'], [{
		name: tenant, apiKeys: [key], priority: 1, ratePerS, burst,
	}]));
	for (let index = 0; index < 9; index++) {
		await deployment.addUpstream(`desk-${index}`, 'refund-desk', zones[index % 3]);
	}

	const indexes = Array.from({length: instanceCount}, (_, index) => index);
	for (const index of indexes) {
		await deployment.startInstance(index, true);
	}

	await links.start();
	await Promise.all(indexes.map(async index => deployment.untilReady(index)));
	await delay(5000);
	const load = flood(deployment, performance.now() + beforeCutMs + cutMs + afterCutMs);
	await delay(beforeCutMs);
	if (hasTrouble) {
		note(`${zones[0]} and ${zones[1]} can't reach each other from now on`);
		links.cut(zones[0], zones[1]);
	}

	await delay(cutMs);
	if (hasTrouble) {
		note('end of the cut');
		links.heal();
	}

	await load;
}

/** Returns the largest number of requests that were sent and run within one window. */
function busiestWindow(runs) {
	let most = {count: 0, fromMs: 0};
	for (const {atMs: fromMs} of runs) {
		const count = runs.filter(({id, atMs}) => sentAtMs.get(id) >= fromMs - 1 && atMs >= fromMs && atMs <= fromMs + windowMs).length;
		most = count > most.count ? {count, fromMs} : most;
	}

	return most;
}

function conclude(deployment) {
	const runs = deployment.upstreams.flatMap(({id: upstream, executedIds, executedAtMs}) => executedIds.map((id, index) => ({id, upstream, atMs: executedAtMs[index]})));
	for (const {id, upstream, atMs} of runs) {
		note(`${id} runs at ${upstream}`, atMs);
	}

	record.sort((left, right) => left.atMs - right.atMs);
	const {count, fromMs} = busiestWindow(runs.filter(({id}) => sentAtMs.has(id)));
	note(`answers: ${JSON.stringify([...statuses])}; ${runs.length} ran`);
	note(`at most ${count} ran in 5 s, from ${((fromMs - startedAtMs) / 1000).toFixed(3)} on; ${allowed} are allowed`);
	note(count > allowed ? 'rule broken' : 'rule held');
	return count > allowed ? 1 : 0;
}

const deployment = await new Deployment().start(zones, {bounds, hasZonePorts: true, settings: {accountLimits: {windowSeconds: 5, excessRatio: excess, slackRequests: slack}}});
const links = new ZoneLinks(Array.from({length: instanceCount}, (_, index) => ({host: deployment.hostOf(index), zone: deployment.zoneOf(index), port: deployment.peerPortOf(index)})));
let exitCode = 2;
try {
	await run(deployment, links);
	exitCode = (statuses.get(200) ?? 0) > 200 ? conclude(deployment) : 2;
} catch (error) {
	note(`could not run: ${error.stack}`);
} finally {
	links.stop();
	await deployment.stop();
}

writeFileSync(new URL('record.txt', import.meta.url), `${record.map(({text}) => text).join('\n')}\n`);
console.log(record.slice(-3).map(({text}) => text).join('\n'));
process.exitCode = exitCode;
