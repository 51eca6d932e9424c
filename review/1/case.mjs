/** Some backends spoil one byte in the header of a few answers, while all instances serve payments and status requests. */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {backendsOf, routes, sendTraffic} from '../support/payment-run.mjs';
import {describeRun, describeSeen, runCase} from '../support/run-case.mjs';

/** Doses of the disruption: this share of the backends spoils this share of its answers for this time. */
const faultyShare = 0.35;
const spoiledShare = 0.02;
const garbleFromMs = 4000;
const garbleForMs = 5000;
const trafficForMs = 14_000;
/** The rule is broken by more than this number of requests that were passed on to sound backends and ended without an answer. */
const tolerated = 3;
/** The platform starts a process that has ended again after a short delay. */
const restartAfterMs = 500;
const backendCount = {disburse: 6, ledger: 6};
const nul = 0;

await runCase(import.meta.url, async ({site, client, hasTrouble}) => {
	const spoiled = [];
	let isGarbling = false;
	const isFaulty = index => index < Math.floor(backendCount.disburse * faultyShare);
	const faultyOptions = () => {
		let answers = 0;
		return {
			writeAnswer(connection, bytes, run) {
				answers += isGarbling && run !== undefined ? 1 : 0;
				const isSpoiled = isGarbling && run !== undefined && answers % (1 / spoiledShare) === 1;
				if (isSpoiled) {
					spoiled.push(run);
				}

				connection.write(isSpoiled ? spoil(bytes) : bytes);
			},
		};
	};

	await site.start({
		routes, instanceCount: 3, restartAfterMs, backends: backendsOf(backendCount, index => isFaulty(index) ? faultyOptions() : {}),
	});
	const timers = [
		setTimeout(() => {
			isGarbling = hasTrouble;
		}, garbleFromMs),
		setTimeout(() => {
			isGarbling = false;
		}, garbleFromMs + garbleForMs),
	];
	const seen = await sendTraffic(client, site.instances, trafficForMs);
	await delay(500);
	for (const timer of timers) {
		clearTimeout(timer);
	}

	const soundRuns = new Map(site.backends.filter((_, index) => !isFaulty(index % backendCount.disburse)).flatMap(({runs}) => runs).map(run => [run.id, run]));
	const cut = seen.filter(({id, error, isOnKeptConnection}) => error !== undefined && isOnKeptConnection && soundRuns.has(id));
	const cutPayments = cut.filter(({method}) => method === 'POST');
	const ends = site.instances.flatMap(({ip, ends: ofInstance}) => ofInstance.map(end => ({ip, ...end})));
	return {
		isBroken: cut.length > tolerated,
		lines: [
			`requests sent: ${seen.length}, answered: ${seen.filter(({status}) => status !== undefined).length}, answers spoiled: ${spoiled.length}`,
			`processes that ended by themselves: ${ends.length}`,
			`requests on kept connections that ran at sound backends and got no answer: ${cut.length} (tolerated: ${tolerated}), payments among them: ${cutPayments.length}`,
			'',
			...spoiled.map(run => `spoiled: ${describeRun(run)}`),
			...ends.map(({ip, atMs, code, signal, lastLines}) => `process at ${ip} ended at ${Math.round(atMs)} ms, code ${code}, signal ${signal}: ${lastLines.join(' | ')}`),
			...cut.flatMap(request => [describeSeen(request), describeRun(soundRuns.get(request.id))]),
		],
		seen,
	};
});

/** Replaces one byte in the value of the signature header. */
function spoil(bytes) {
	const spoiledBytes = Buffer.from(bytes);
	spoiledBytes[bytes.indexOf('signed.') + 'signed'.length] = nul;
	return spoiledBytes;
}
