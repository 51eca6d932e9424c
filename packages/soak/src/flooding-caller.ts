/** Callers of two accounts with a rate limit, by all instances in turn: one asks for much more than its limit, the other for less. */
import {setTimeout as delay} from 'node:timers/promises';
import type {FloodCalls} from './history.js';
import {callOnce} from './soak-caller.js';
import {limitedAccounts, type SoakSite} from './soak-site.js';

const pauseMs = 50;
/** 100 requests a second. */
const requestsPerPause = 5;
/** The account below its limit sends one request in this many pauses, 4 a second. */
const pausesPerModestRequest = 5;
/** Time until all instances have the accounts. */
const introductionMs = 1000;

/** @param name - unique part of the ids of its requests */
export async function runFloodingCaller(site: SoakSite, name: string, durationMs: number): Promise<FloodCalls> {
	const untilMs = performance.now() + durationMs;
	site.introduceAccounts();
	await delay(introductionMs);
	const [flooded, modest] = limitedAccounts;
	const calls: Array<Promise<FloodCalls['calls'][number]>> = [];
	const call = async ({apiKeys: [key]}: typeof flooded | typeof modest, isFlooding: boolean) => {
		const id = `${name}-${calls.length}`;
		const {settings: {listen}} = site.entries[calls.length % site.entries.length]!;
		const {record} = await callOnce(listen.callers, {
			id, method: 'GET', path: `/account/${id}`, headers: {authorization: `Bearer ${key}`},
		});
		return {record, isFlooding};
	};

	for (let round = 0; performance.now() < untilMs; round++) {
		for (let index = 0; index < requestsPerPause; index++) {
			calls.push(call(flooded, true));
		}

		if (round % pausesPerModestRequest === 0) {
			calls.push(call(modest, false));
		}

		await delay(pauseMs);
	}

	return {calls: await Promise.all(calls)};
}
