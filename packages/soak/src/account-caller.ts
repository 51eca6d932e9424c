/** A caller that sends requests with keys of client accounts to one instance after the other, while one of the keys is taken away. */
import {setTimeout as delay} from 'node:timers/promises';
import type {AccountCalls} from './history.js';
import {callOnce} from './soak-caller.js';
import {removedKey, soakAccounts, type SoakSite} from './soak-site.js';

const pauseMs = 100;
/** Part of the time after which the key is taken away. */
const removalRatio = 0.25;
/** Time until all instances have the accounts. */
const introductionMs = 1000;

/** @param name - unique part of the ids of its requests */
export async function runAccountCaller(site: SoakSite, name: string, durationMs: number): Promise<AccountCalls> {
	const startMs = performance.now();
	site.introduceAccounts();
	await delay(introductionMs);
	const calls: Array<AccountCalls['calls'][number]> = [];
	let removedAtMs: number | undefined;
	for (let round = 0; performance.now() < startMs + durationMs; round++) {
		if (removedAtMs === undefined && performance.now() >= startMs + (durationMs * removalRatio)) {
			site.removeKey();
			removedAtMs = performance.now();
		}

		const {settings: {listen}} = site.entries[round % site.entries.length]!;
		for (const [index, {name: account, apiKeys: [key]}] of soakAccounts.entries()) {
			const id = `${name}-${round}-${index}`;
			const {record} = await callOnce(listen.callers, {
				id, method: 'GET', path: `/account/${id}`, headers: {authorization: `Bearer ${key}`, 'x-tenant': 'forged'},
			});
			calls.push({record, account, usesRemovedKey: key === removedKey});
		}

		await delay(pauseMs);
	}

	return {calls, removedAtMs: removedAtMs ?? Number.POSITIVE_INFINITY};
}
