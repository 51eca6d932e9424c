/** A machine that was cut off brings back the evacuation of a zone that the operator had taken back. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	ask, configuration, Deployment, route,
} from '../shared-2/deployment.mjs';
import {ZoneLinks} from '../shared-2/zone-links.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['lautoka-hall', 'nadi-hall'];
const emptiedZone = 'sigatoka-hall';
const key = `evacuate/${emptiedZone}`;
/** `node_cut` has a dose of 5.5 s in the site files, `node_kill` one of 3.5 s. */
const cutMs = 5000;
const darkMs = 2500;
const durationMs = 70_000;
const deadlineMs = 1000;
/** All upstreams of the ledger are in the zone that is emptied for a while. */
const kinds = ['ledger', 'disburse'];

const record = [];
const startedAtMs = performance.now();
function note(text) {
	record.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
}

const calls = [];

async function resolve(deployment) {
	for (const index of [0, 1]) {
		const answer = await ask(deployment.addressOf(index, 2), '/resolve?name=pay.example&region=viti-west&zone=nadi-hall', {}, 1000);
		if (answer.status === 200) {
			return JSON.parse(answer.body).addresses;
		}
	}

	return [];
}

/** Sends one request of each kind every 50 ms, to addresses that a directory names. */
async function runCallers(deployment, endMs) {
	const pending = [];
	let addresses = [];
	let resolvedAtMs = Number.NEGATIVE_INFINITY;
	for (let count = 0; performance.now() < endMs; count++) {
		if (addresses.length === 0 || performance.now() - resolvedAtMs > 2000) {
			addresses = await resolve(deployment);
			resolvedAtMs = performance.now();
		}

		for (const kind of kinds) {
			pending.push(send(kind, addresses, count));
		}

		await delay(50);
	}

	await Promise.all(pending);
}

async function send(kind, addresses, count) {
	const call = {kind, sentAtMs: performance.now(), isServed: false};
	calls.push(call);
	for (const [attempt, address] of addresses.toSorted(() => Math.random() - 0.5).entries()) {
		const id = `${kind}-${count}-${attempt}`;
		const answer = await ask(address, `/${kind}/1`, {host: 'pay.example', 'x-request-id': id, 'x-deadline-ms': String(deadlineMs)}, deadlineMs);
		call.isServed = answer.status === 200 && answer.headers['x-response-signature'] !== undefined;
		note(`${id} to ${address}: ${answer.status} ${call.isServed ? answer.headers['x-response-signature'] : answer.body}`);
		if (answer.status !== 0) {
			return;
		}
	}
}

/** Cuts machine 0 off from the other one and from the store. Meanwhile machine 1 loses power, and the operator takes the zone back. */
async function disrupt(deployment, links) {
	note('machine 0 is cut off from machine 1 and from the store');
	links.cut(...zones);
	deployment.cutFromStore(0, true);
	const healAtMs = performance.now() + cutMs;
	await delay(500);
	note('machine 1 loses power');
	deployment.instances[1].signal('SIGKILL');
	await deployment.instances[1].exited;
	await delay(darkMs / 2);
	note('operator takes the zone back');
	deployment.store.put('keyed.op', key, undefined);
	await delay(darkMs / 2);
	note('machine 1 starts again');
	await deployment.startInstance(1, false);
	await deployment.untilReady(1);
	note('machine 1 is ready');
	await delay(healAtMs - performance.now());
	note('end of the cut');
	deployment.cutFromStore(0, false);
	links.heal();
}

async function run(deployment, links) {
	deployment.store.put('keyed.op', 'config', configuration('r1', kinds.map(kind => route(kind, `/${kind}/`, kind)), kinds));
	for (let index = 0; index < 3; index++) {
		await deployment.addUpstream(`ledger-${index}`, 'ledger', emptiedZone);
		await deployment.addUpstream(`disburse-${index}`, 'disburse', zones[index % 2]);
	}

	for (const index of [0, 1]) {
		await deployment.startInstance(index, true);
	}

	await links.start();
	await Promise.all([0, 1].map(async index => deployment.untilReady(index)));
	await delay(4000);
	const load = runCallers(deployment, performance.now() + durationMs);
	await delay(3000);
	note('operator evacuates the zone');
	deployment.store.put('keyed.op', key, {});
	await delay(2000);
	if (hasTrouble) {
		await disrupt(deployment, links);
	} else {
		note('operator takes the zone back');
		deployment.store.put('keyed.op', key, undefined);
	}

	await load;
	for (const [index, {lines}] of deployment.instances.entries()) {
		for (const line of lines.filter(({event}) => /^availability zone|^store /.test(event))) {
			note(`log of machine ${index}: ${JSON.stringify(line)}`);
		}
	}
}

function conclude() {
	const shareOf = list => list.filter(({isServed}) => isServed).length / list.length;
	const shares = kinds.map(kind => shareOf(calls.filter(call => call.kind === kind)));
	const all = shareOf(calls);
	note(`${calls.length} sent; served: all ${all.toFixed(3)}, ${kinds.map((kind, index) => `${kind} ${shares[index].toFixed(3)}`).join(', ')}`);
	if (calls.length < 1000) {
		return 2;
	}

	const isBroken = shares.some(share => share < all / 4);
	note(isBroken ? 'rule broken' : 'rule held');
	return isBroken ? 1 : 0;
}

const deployment = await new Deployment().start(zones, {hasZonePorts: true});
const links = new ZoneLinks([0, 1].map(index => ({host: deployment.hostOf(index), zone: deployment.zoneOf(index), port: deployment.peerPortOf(index)})));
let exitCode = 2;
try {
	await run(deployment, links);
	exitCode = conclude();
} catch (error) {
	note(`could not run: ${error.stack}`);
} finally {
	links.stop();
	await deployment.stop();
}

writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
console.log(record.slice(-2).join('\n'));
process.exitCode = exitCode;
