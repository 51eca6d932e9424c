/** The last machine of a deployment starts again, and serves no tenant that has a rate limit any more. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	ask, configuration, Deployment, route,
} from '../shared-2/deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['khomas-a', 'khomas-b'];
const excess = 0.1;
const slack = 20;
const tenant = {
	name: 'airport', apiKeys: ['key-of-the-airport'], priority: 1, ratePerS: 100, burst: 100,
};
/** A fifth of the tenant's limit. */
const requestsPerS = 20;
const deadlineMs = 2000;
const recoveryMs = 15_000;
const downMs = 600;
/** Bounds of the site file `ecmru-refunds-grown`. */
const bounds = {
	graceSeconds: 6, maximumAddressTtlSeconds: 5, retryRatio: 0.2, retrySlack: 178, retryWindowSeconds: 10, probesPerSecond: 42,
};

const record = [];
const startedAtMs = performance.now();
function note(text) {
	record.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
}

const calls = [];

/** Returns the addresses that the first machine to answer names. */
async function resolve(deployment) {
	for (const index of [0, 1]) {
		const answer = await ask(deployment.addressOf(index, 2), '/resolve?name=pay.example&region=khomas&zone=khomas-a', {}, 1000);
		if (answer.status === 200) {
			return JSON.parse(answer.body).addresses;
		}
	}

	return [];
}

/** Sends requests to the addresses that a directory names. A caller that finds none, or is refused, has failed. */
async function runCallers(deployment, endMs) {
	const pending = [];
	let addresses = [];
	let resolvedAtMs = Number.NEGATIVE_INFINITY;
	for (let count = 0; performance.now() < endMs; count++) {
		if (addresses.length === 0 || performance.now() - resolvedAtMs > 2000) {
			addresses = await resolve(deployment);
			resolvedAtMs = performance.now();
		}

		pending.push(send(addresses, count));
		await delay(1000 / requestsPerS);
	}

	await Promise.all(pending);
}

async function send(addresses, count) {
	const call = {id: `r${count}`, sentAtMs: performance.now(), status: 0};
	calls.push(call);
	for (const address of addresses.toSorted(() => Math.random() - 0.5)) {
		const answer = await ask(address, '/claims/1', {
			host: 'pay.example', 'x-request-id': `${call.id}-${address}`, 'x-deadline-ms': String(deadlineMs), authorization: `Bearer ${tenant.apiKeys[0]}`,
		}, deadlineMs);
		call.status = answer.status;
		note(`${call.id} to ${address}: ${answer.status} ${answer.status === 200 ? answer.headers['x-response-signature'] : answer.body}`);
		if (answer.status !== 0) {
			return;
		}
	}
}

async function run(deployment) {
	deployment.store.put('keyed.op', 'config', configuration('r1', [route('claims', '/claims/', 'refund-desk')], ['refund-desk'], [tenant]));
	for (let index = 0; index < 3; index++) {
		await deployment.addUpstream(`desk-${index}`, 'refund-desk', zones[index % 2]);
	}

	for (const index of [0, 1]) {
		await deployment.startInstance(index, true);
	}

	await Promise.all([0, 1].map(async index => deployment.untilReady(index)));
	await delay(5000);
	const faultAfterMs = 20_000;
	const load = runCallers(deployment, performance.now() + faultAfterMs + downMs + recoveryMs + 20_000);
	await delay(6000);
	if (hasTrouble) {
		note('machine 1 gets SIGTERM and is removed');
		deployment.instances[1].signal('SIGTERM');
		note(`machine 1 has ended: ${JSON.stringify(await deployment.instances[1].exited)}`);
	}

	await delay(6000);
	const faultAtMs = performance.now();
	if (hasTrouble) {
		note('all processes are killed');
		deployment.instances[0].signal('SIGKILL');
		await deployment.instances[0].exited;
		await delay(downMs);
		await deployment.startInstance(0, false);
		await deployment.untilReady(0);
		note('machine 0 is back and ready');
	}

	const backAtMs = performance.now();
	await load;
	return {faultAtMs, backAtMs};
}

function conclude({faultAtMs, backAtMs}) {
	const before = calls.filter(({sentAtMs}) => sentAtMs < faultAtMs);
	const after = calls.filter(({sentAtMs}) => sentAtMs > backAtMs + recoveryMs);
	const served = list => list.filter(({status}) => status === 200).length;
	note(`before the final fault ${before.length} sent, ${served(before)} served; later than 15 s after the machines were back ${after.length} sent, ${served(after)} served`);
	if (before.length < 100 || after.length < 100) {
		return 2;
	}

	const isBroken = served(before) >= before.length / 4 && served(after) < after.length / 4;
	note(isBroken ? 'rule broken' : 'rule held');
	return isBroken ? 1 : 0;
}

const deployment = await new Deployment().start(zones, {bounds, settings: {accountLimits: {windowSeconds: 5, excessRatio: excess, slackRequests: slack}}});
let exitCode = 2;
try {
	exitCode = conclude(await run(deployment));
} catch (error) {
	note(`could not run: ${error.stack}`);
} finally {
	await deployment.stop();
}

writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
console.log(record.slice(-2).join('\n'));
process.exitCode = exitCode;
