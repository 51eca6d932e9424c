/** A caller whose requests take up to seconds. It keeps addresses for as long as callers may, so that it meets instances that stop. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import type {CallRecord} from './history.js';
import {callOnce} from './soak-caller.js';

const sendIntervalMs = 60;
const shortestWorkMs = 100;
const longestWorkMs = 1500;
/** A third of its requests are payments. */
const requestsPerPayment = 3;
/** Three times the time to live of an address answer. */
const keepAddressesMs = 15_000;

export type LongRequestCallerOptions = {
	readonly name: string;
	readonly random: RandomSource;
	/** Returns addresses, `IP:port`, of instances that accept callers. */
	readonly resolve: () => Promise<readonly string[]>;
	readonly stop: AbortSignal;
};

/** Sends requests at a steady pace, without waiting for earlier ones, until `stop` aborts; resolves once all have ended. */
export async function runLongRequestCaller({name, random, resolve, stop}: LongRequestCallerOptions): Promise<CallRecord[]> {
	const agent = new Agent({keepAlive: true});
	const calls: Array<Promise<CallRecord>> = [];
	let addresses: readonly string[] = [];
	let resolvedAtMs = Number.NEGATIVE_INFINITY;
	while (!stop.aborted) {
		if (addresses.length === 0 || performance.now() - resolvedAtMs >= keepAddressesMs) {
			addresses = await resolve();
			resolvedAtMs = performance.now();
		}

		const address = addresses[random.nextInteger(Math.max(1, addresses.length))];
		if (address !== undefined) {
			calls.push(send(address, `${name}-${calls.length}`, random, agent));
		}

		await delay(sendIntervalMs);
	}

	const records = await Promise.all(calls);
	agent.destroy();
	return records;
}

async function send(address: string, id: string, random: RandomSource, agent: Agent): Promise<CallRecord> {
	const isPayment = random.nextInteger(requestsPerPayment) === 0;
	const workMs = shortestWorkMs + random.nextInteger(longestWorkMs - shortestWorkMs);
	const path = `/${isPayment ? 'pay' : 'read'}/work-${workMs}/${id}`;
	const {record} = await callOnce(address, {id, method: isPayment ? 'POST' : 'GET', path}, agent);
	return record;
}
