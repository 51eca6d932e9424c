/** One of two instances gets SIGTERM while clients that still hold its address go on sending to it, among them a few long requests. */
import {setTimeout as delay} from 'node:timers/promises';
import {describeRun, describeSeen, runCase} from '../support/run-case.mjs';
import {route} from '../support/site.mjs';

/** Deadline and timeout of both kinds at the site, and their work; a long payout takes the most that the site knows. */
const payout = {
	name: 'refund-payout', deadlineMs: 8000, workMs: 320, longWorkMs: 2400,
};
const claim = {name: 'claim-status', deadlineMs: 6000, workMs: 250};
const longTarget = '/long/';
/** Long payouts are sent so long after the SIGTERM: later than the 3 s up to which the rule excuses them, while the instance still takes requests. */
const longSentAtMs = [3100, 3200, 3300, 3400, 3500];
const untouchedForMs = 4000;
const shortIntervalMs = 100;
const graceMs = 6000;

await runCase(import.meta.url, async ({site, client, hasTrouble}) => {
	const backendOptions = index => ({
		id: `i-refund-desk-${index}`, service: 'refund-desk', slots: 6, workMs({target}) {
			if (target.includes(longTarget)) {
				return payout.longWorkMs;
			}

			return target.includes(payout.name) ? payout.workMs : claim.workMs;
		},
	});
	await site.start({
		routes: [
			route(claim.name, `/${claim.name}/`, {service: 'refund-desk', timeoutS: claim.deadlineMs / 1000, targetLatencyS: 0.65}),
			route(payout.name, `/${payout.name}/`, {
				service: 'refund-desk', timeoutS: payout.deadlineMs / 1000, targetLatencyS: 0.85, kind: 'non_idempotent',
			}),
		],
		instanceCount: 2,
		backends: Array.from({length: 6}, (_, index) => backendOptions(index)),
	});
	const [leaving, staying] = site.instances;
	const pending = [];
	const send = (instance, id, isPayout, path) => {
		const {name, deadlineMs} = isPayout ? payout : claim;
		pending.push(client.send({
			ip: instance.ip, port: instance.frontPort, id, target: `/${name}${path}${id}`, deadlineMs, ...(isPayout ? {method: 'POST', body: 'refund 5'} : {}),
		}));
	};

	let number = 0;
	const shortRequests = setInterval(() => {
		number += 1;
		send(number % 2 === 0 ? leaving : staying, `short-${number}`, number % 3 === 0, '/');
	}, shortIntervalMs);
	await delay(untouchedForMs);
	const terminatedAt = performance.now();
	const ended = hasTrouble ? leaving.terminate() : undefined;
	for (const [index, atMs] of longSentAtMs.entries()) {
		await delay(terminatedAt + atMs - performance.now());
		send(leaving, `long-${index}`, true, longTarget);
	}

	clearInterval(shortRequests);
	const seen = await Promise.all(pending);
	const tookMs = await ended;
	await delay(Math.max(0, terminatedAt + graceMs - performance.now()));
	const runs = new Map(site.runs.map(run => [run.id, run]));
	// A whole request that was passed on to a backend, which was at work when the client got something else than that backend's answer.
	const cut = seen.filter(({id, status}) => runs.get(id)?.droppedAt !== undefined && status !== 200);
	const counted = cut.filter(({sentAt, endedAt}) => sentAt - terminatedAt > 3000 && endedAt - sentAt < payout.deadlineMs);
	const leftMs = ({sentAt, endedAt}) => Math.round(payout.deadlineMs - (endedAt - sentAt));
	const sinceSignal = atMs => `${Math.round(atMs - terminatedAt)} ms after the SIGTERM`;
	return {
		isBroken: counted.length > 0,
		lines: [
			`${hasTrouble ? 'SIGTERM' : 'no SIGTERM; times count from'} at ${Math.round(terminatedAt)} ms${hasTrouble ? `; the process took ${Math.round(tookMs)} ms to end` : ''}`,
			`requests sent: ${seen.length}, with an answer of 200: ${seen.filter(({status}) => status === 200).length}`,
			`payouts sent later than 3 s after the SIGTERM and broken off while a backend was at work, before the deadline: ${counted.length}`,
			'',
			...counted.flatMap(request => [
				`sent ${sinceSignal(request.sentAt)}, ended ${sinceSignal(request.endedAt)}, ${leftMs(request)} ms before its deadline: ${describeSeen(request)}`,
				describeRun(runs.get(request.id)),
			]),
		],
		seen,
	};
});
