/** Some backends send, right behind a few whole answers, the first line of the same answer once more; the next request on that connection may fail at its backend. */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	backendsOf, kindOf, kinds, routes, sendTraffic,
} from '../support/payment-run.mjs';
import {describeRun, describeSeen, runCase} from '../support/run-case.mjs';

/** Doses of the disruption: this share of the backends adds bytes to this share of its answers for this time. */
const faultyShare = 0.5;
const extraShare = 0.02;
const garbleFromMs = 6000;
const garbleForMs = 5000;
const trafficForMs = 40_000;
const backendCount = {disburse: 6, ledger: 6};
const lineEnd = '\r\n';

await runCase(import.meta.url, async ({site, client, hasTrouble}) => {
	const extras = [];
	const failed = [];
	let isGarbling = false;
	const isFaulty = index => index < Math.floor(backendCount.disburse * faultyShare);
	// Backends fail the site's share of requests of their own accord; here those that follow extra bytes, as long as the share allows.
	const failuresLeft = new Map(kinds.map(({name, perSecond, ownFailureShare}) => [name, Math.floor(perSecond * trafficForMs / 1000 * ownFailureShare)]));
	const faultyOptions = () => {
		let answers = 0;
		return {
			statusOf(run, connection) {
				const {name} = kindOf(run.target);
				if (!connection.isBehindExtra || failuresLeft.get(name) === 0) {
					return 200;
				}

				failuresLeft.set(name, failuresLeft.get(name) - 1);
				failed.push(run);
				return 500;
			},
			writeAnswer(connection, bytes, run) {
				answers += isGarbling ? 1 : 0;
				const hasExtra = isGarbling && answers % (1 / extraShare) === 1;
				connection.isBehindExtra = hasExtra;
				if (hasExtra) {
					extras.push(run);
				}

				connection.write(hasExtra && hasTrouble ? Buffer.concat([bytes, firstLineOf(bytes)]) : bytes);
			},
		};
	};

	await site.start({
		routes, instanceCount: 3, backends: backendsOf(backendCount, index => isFaulty(index) ? faultyOptions() : {}),
	});
	const timers = [
		setTimeout(() => {
			isGarbling = true;
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

	const runsOf = groupById(site.runs);
	const wrong = seen.filter(request => isWrongSuccess(request, runsOf.get(request.id) ?? []));
	return {
		isBroken: wrong.length > 0,
		lines: [
			`requests sent: ${seen.length}, with an answer of 200: ${seen.filter(({status}) => status === 200).length}`,
			`answers with the first line of a second one behind them: ${hasTrouble ? extras.length : 0}`,
			`requests that failed at their backend: ${failed.length} (${failed.map(({id}) => id).join(', ')})`,
			`successes that clients got where the backend had answered with a failure: ${wrong.length}`,
			'',
			...extras.map(run => `${hasTrouble ? 'extra bytes behind' : 'no extra bytes behind'}: ${run === undefined ? 'the answer to a health check' : describeRun(run)}`),
			...failed.map(run => `failed: ${describeRun(run)}`),
			...wrong.flatMap(request => [`wrong: ${describeSeen(request)}`, ...runsOf.get(request.id).map(run => describeRun(run))]),
		],
		seen,
	};
});

function firstLineOf(bytes) {
	return bytes.subarray(0, bytes.indexOf(lineEnd) + lineEnd.length);
}

function groupById(runs) {
	const groups = new Map();
	for (const run of runs) {
		groups.set(run.id, [...groups.get(run.id) ?? [], run]);
	}

	return groups;
}

/** Whether the client got a success with the signature of a backend that had answered this request with a failure. */
function isWrongSuccess({status, signature}, runs) {
	const isSuccess = status !== undefined && status >= 200 && status < 300;
	return isSuccess && runs.some(run => run.signature === signature && run.status >= 500);
}
