/** Routes, backends and traffic in the proportions of the payment-run gateway of the small site. */
import {setTimeout as delay} from 'node:timers/promises';
import {route} from './site.mjs';

/** Requests a second, work, and the client's deadline of each kind; the share of its own failures is the site's. */
export const kinds = [
	{
		name: 'invoice-status', service: 'disburse', perSecond: 68, workMs: 120, deadlineMs: 1000, targetLatencyS: 0.3, isPayment: false, ownFailureShare: 0,
	},
	{
		name: 'pay-release', service: 'disburse', perSecond: 26, workMs: 160, deadlineMs: 1200, targetLatencyS: 0.4, isPayment: true, ownFailureShare: 0.001,
	},
	{
		name: 'ledger-archive', service: 'ledger', perSecond: 24, workMs: 300, deadlineMs: 2000, targetLatencyS: 0.8, isPayment: false, ownFailureShare: 0.004,
	},
	{
		name: 'remit-advice', service: 'ledger', perSecond: 21, workMs: 48, deadlineMs: 400, targetLatencyS: 0.15, isPayment: false, ownFailureShare: 0.004,
	},
];

export const routes = kinds.map(({name, service, deadlineMs, targetLatencyS, isPayment}) => route(name, `/${name}/`, {
	service, targetLatencyS, timeoutS: deadlineMs / 1000, kind: isPayment ? 'non_idempotent' : 'idempotent',
}));

/** @returns the kind of a request by its target */
export function kindOf(target) {
	return kinds.find(({name}) => target.startsWith(`/${name}/`));
}

/** Options of the backends of both services. @param optionsOf - returns further options of a backend by its number in its service */
export function backendsOf(countByService, optionsOf) {
	return Object.entries(countByService).flatMap(([service, count]) => Array.from({length: count}, (_, index) => ({
		id: `i-${service}-${index}`, service, workMs: ({target}) => kindOf(target).workMs, ...optionsOf(index, service),
	})));
}

/**
 * Sends each kind at its rate, whatever becomes of earlier requests. Like the platform's clients, it leaves out an instance that has just failed it.
 *
 * @returns what the client saw of each request, once all have ended
 */
export async function sendTraffic(client, instances, forMs) {
	const avoidForMs = 1000;
	const failedAt = new Map();
	const startedAt = performance.now();
	const pending = [];
	const due = kinds.flatMap(({name, perSecond, isPayment, deadlineMs}) => Array.from({length: Math.floor(perSecond * forMs / 1000)}, (_, number) => ({
		atMs: (number + 0.5) * 1000 / perSecond, id: `${name}-${number}`, target: `/${name}/${number}`, deadlineMs, ...(isPayment ? {method: 'POST', body: 'pay 5'} : {}),
	}))).toSorted((left, right) => left.atMs - right.atMs);
	for (const [number, {atMs, ...request}] of due.entries()) {
		const waitMs = startedAt + atMs - performance.now();
		if (waitMs > 0) {
			await delay(waitMs);
		}

		const usable = instances.filter(({ip}) => performance.now() - (failedAt.get(ip) ?? Number.NEGATIVE_INFINITY) > avoidForMs);
		const {ip, frontPort: port} = (usable.length > 0 ? usable : instances)[number % Math.max(1, usable.length)];
		pending.push(sendOne(client, {...request, ip, port}, failedAt));
	}

	return Promise.all(pending);
}

async function sendOne(client, request, failedAt) {
	const seen = await client.send(request);
	if (seen.error !== undefined) {
		failedAt.set(request.ip, performance.now());
	}

	return seen;
}
