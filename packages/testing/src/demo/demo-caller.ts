/** One caller of the demo: sends calls one after another, and resends as it is told. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol';
import type {Caller, CallResponse} from '../harness/caller.js';
import type {AddressCache} from './address-cache.js';
import type {CallResult} from './call-counts.js';
import {acquireGuard} from './at-most-once-guard.js';
import {generateCall, type DemoCall} from './demo-call.js';

const maximumSends = 8;
const pauseBetweenCallsMs = 10;
const pauseBeforeResendMs = 100;

export type DemoCallerOptions = {
	readonly caller: Caller;
	readonly addresses: AddressCache;
	readonly random: RandomSource;
	readonly stop: AbortSignal;
};

/** Sends until stopped; the ends of all its calls. */
export async function runDemoCaller(options: DemoCallerOptions): Promise<CallResult[]> {
	const ends: CallResult[] = [];
	while (!options.stop.aborted) {
		ends.push(await completeCall(generateCall(options.random), options));
		await delay(options.random.next() * 2 * pauseBetweenCallsMs);
	}

	return ends;
}

/** Sends one call, and again under the same id and key while it was not run or its end is unknown. */
async function completeCall(call: DemoCall, {caller, addresses, random}: DemoCallerOptions): Promise<CallResult> {
	const requestId = randomUUID();
	let instance = await addresses.current();
	const guard = call.idempotent ? undefined : await acquireGuard(caller, instance, random);
	const send = async (previousAttempts: number) => caller.call({
		...call, instance, requestId, headers: guard && {...guard.headers, [headerNames.previousAttempts]: String(previousAttempts)},
	});
	let result = await send(0);
	for (let sends = 1; sends < maximumSends && (result.type === 'not-run' || result.type === 'unknown'); sends += 1) {
		await delay(pauseBeforeResendMs);
		await addresses.current();
		instance = addresses.next();
		result = await send(sends);
	}

	return {
		requestId, idempotent: call.idempotent, guard: guard?.kind, outcome: result.type, isOwnAnswer: checkOwnAnswer(result, call),
	};
}

function checkOwnAnswer(result: CallResponse, call: DemoCall): boolean {
	if (result.type !== 'answered' || result.statusCode !== 200) {
		return false;
	}

	try {
		const content = JSON.parse(result.body) as {requestId?: string; receivedBytes?: number};
		return content.requestId === result.requestId && content.receivedBytes === (call.body?.length ?? 0);
	} catch {
		return false;
	}
}
