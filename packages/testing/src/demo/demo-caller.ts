/** A caller of the demo: sends calls in sequence and retries those that were not run or whose outcome is unknown. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol';
import type {Caller, CallResponse} from '../harness/caller.js';
import type {AddressCache} from './address-cache.js';
import type {CallResult} from './call-counts.js';
import {acquireGuard} from './at-most-once-guard.js';
import {generateCall, type DemoCall} from './demo-call.js';

const maximumAttempts = 8;
const pauseBetweenCallsMs = 10;
const pauseBeforeRetryMs = 100;

export type DemoCallerOptions = {
	readonly caller: Caller;
	readonly addresses: AddressCache;
	readonly random: RandomSource;
	readonly stop: AbortSignal;
};

/** Sends calls until it is stopped; resolves with the results of all calls. */
export async function runDemoCaller(options: DemoCallerOptions): Promise<CallResult[]> {
	const results: CallResult[] = [];
	while (!options.stop.aborted) {
		results.push(await completeCall(generateCall(options.random), options));
		await delay(options.random.next() * 2 * pauseBetweenCallsMs);
	}

	return results;
}

/** Sends one call, and retries it with the same id and ticket or key while it was not run or its outcome is unknown. */
async function completeCall(call: DemoCall, {caller, addresses, random}: DemoCallerOptions): Promise<CallResult> {
	const requestId = randomUUID();
	let instance = await addresses.current();
	const guard = call.idempotent ? undefined : await acquireGuard(caller, instance, random);
	const send = async (previousAttempts: number) => caller.call({
		...call, instance, requestId, headers: guard && {...guard.headers, [headerNames.previousAttempts]: String(previousAttempts)},
	});
	let response = await send(0);
	for (let attempts = 1; attempts < maximumAttempts && (response.type === 'not-run' || response.type === 'unknown'); attempts += 1) {
		await delay(pauseBeforeRetryMs);
		await addresses.current();
		instance = addresses.next();
		response = await send(attempts);
	}

	return {
		requestId, idempotent: call.idempotent, guard: guard?.kind, outcome: response.type, isOwnAnswer: isOwn(response, call),
	};
}

function isOwn(response: CallResponse, call: DemoCall): boolean {
	if (response.type !== 'answered' || response.statusCode !== 200) {
		return false;
	}

	try {
		const content = JSON.parse(response.body) as {requestId?: string; receivedBytes?: number};
		return content.requestId === response.requestId && content.receivedBytes === (call.body?.length ?? 0);
	} catch {
		return false;
	}
}
