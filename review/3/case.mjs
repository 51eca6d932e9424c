/** One of two instances gets SIGTERM while clients that still hold its address go on sending to it, among them a few long requests. */
import {setTimeout as delay} from 'node:timers/promises';
import {describeRun, describeSeen, runCase} from '../support/run-case.mjs';
import {route} from '../support/site.mjs';

/** Both routes let a request take so long, and so long its client waits. */
const deadlineMs = 3000;
/** Work of a short request, and of a long one on a backend whose machine others keep busy: within the deadline, with time to spare. */
const shortWorkMs = 120;
const longWorkMs = 2400;
const longTarget = '/long/';
/** Long requests are sent so long after the SIGTERM: later than the 3 s up to which the rule excuses them, while the instance still takes requests. */
const longSentAtMs = [3100, 3200, 3300, 3400, 3500];
const untouchedForMs = 4000;
const shortIntervalMs = 100;
const graceMs = 6000;

await runCase(import.meta.url, async ({site, client, hasTrouble}) => {
	const backendOptions = index => ({
		id: `i-listings-${index}`, service: 'listings', slots: 4, workMs: ({target}) => target.includes(longTarget) ? longWorkMs : shortWorkMs,
	});
	await site.start({
		routes: [
			route('valuation-pull', '/valuation-pull/', {service: 'listings', timeoutS: deadlineMs / 1000, targetLatencyS: 0.8}),
			route('purchase-order', '/purchase-order/', {
				service: 'listings', timeoutS: deadlineMs / 1000, targetLatencyS: 0.8, kind: 'non_idempotent',
			}),
		],
		instanceCount: 2,
		backends: Array.from({length: 6}, (_, index) => backendOptions(index)),
	});
	const [leaving, staying] = site.instances;
	const pending = [];
	const send = (instance, id, isOrder, path) => {
		const target = `/${isOrder ? 'purchase-order' : 'valuation-pull'}${path}${id}`;
		pending.push(client.send({
			ip: instance.ip, port: instance.frontPort, id, target, deadlineMs, ...(isOrder ? {method: 'POST', body: 'one oven'} : {}),
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
		send(leaving, `long-${index}`, index % 2 === 0, longTarget);
	}

	clearInterval(shortRequests);
	const seen = await Promise.all(pending);
	const tookMs = await ended;
	await delay(Math.max(0, terminatedAt + graceMs - performance.now()));
	const runs = new Map(site.runs.map(run => [run.id, run]));
	// A whole request that was passed on to a backend, which was at work when the client got something else than that backend's answer.
	const cut = seen.filter(({id, status}) => runs.get(id)?.droppedAt !== undefined && status !== 200);
	const counted = cut.filter(({sentAt, endedAt}) => sentAt - terminatedAt > 3000 && endedAt - sentAt < deadlineMs);
	const leftMs = ({sentAt, endedAt}) => Math.round(deadlineMs - (endedAt - sentAt));
	const sinceSignal = atMs => `${Math.round(atMs - terminatedAt)} ms after the SIGTERM`;
	return {
		isBroken: counted.length > 0,
		lines: [
			`${hasTrouble ? 'SIGTERM' : 'no SIGTERM; times count from'} at ${Math.round(terminatedAt)} ms${hasTrouble ? `; the process took ${Math.round(tookMs)} ms to end` : ''}`,
			`requests sent: ${seen.length}, with an answer of 200: ${seen.filter(({status}) => status === 200).length}`,
			`requests sent later than 3 s after the SIGTERM and broken off while a backend was at work, before the deadline: ${counted.length}`,
			`orders among them: ${counted.filter(({method}) => method === 'POST').length}`,
			'',
			...counted.flatMap(request => [
				`sent ${sinceSignal(request.sentAt)}, ended ${sinceSignal(request.endedAt)}, ${leftMs(request)} ms before its deadline: ${describeSeen(request)}`,
				describeRun(runs.get(request.id)),
			]),
			'',
			'all requests:',
			...seen.map(request => describeSeen(request)),
		],
	};
});
