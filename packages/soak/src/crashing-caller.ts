/** A caller that sends one request that crashes upstreams to one instance after the other, and a harmless one of the same route beside it. */
import {setTimeout as delay} from 'node:timers/promises';
import {requestOfLeavingCallers} from './crashing-upstreams.js';
import type {CallRecord} from './history.js';
import {callOnce} from './soak-caller.js';

const pauseMs = 100;
/** Time after which callers leave, before an upstream crashes. */
const leavesAfterMs = 25;
/** The request comes from another address each time. */
const addressCount = 50;

export type CrashingCalls = {
	readonly path: string;
	readonly calls: readonly CallRecord[];
	readonly harmlessCalls: readonly CallRecord[];
};

export type CrashingCallerOptions = {
	/** The same number gives the same request; for some, callers leave or upstreams fail a part. */
	readonly request: number;
	/** Part of the ids of all its calls. */
	readonly name: string;
	/** `IP:port` of all instances. */
	readonly addresses: readonly string[];
	readonly durationMs: number;
};

export async function runCrashingCaller({request, name, addresses, durationMs}: CrashingCallerOptions): Promise<CrashingCalls> {
	const path = `/crash/poison-${request}`;
	const leaving = request === requestOfLeavingCallers ? {leavesAfterMs} : {};
	const pending: Array<Promise<{readonly record: CallRecord}>> = [];
	const pendingHarmless: Array<Promise<{readonly record: CallRecord}>> = [];
	for (const endMs = performance.now() + durationMs; performance.now() < endMs;) {
		const index = pending.length;
		const address = addresses[index % addresses.length]!;
		const from = `127.0.1.${1 + (index % addressCount)}`;
		pending.push(callOnce(address, {
			id: `x${name}-${index}`, method: 'GET', path, from, ...leaving,
		}));
		pendingHarmless.push(callOnce(address, {
			id: `h${name}-${index}`, method: 'GET', path: `/crash/harmless-${request}`, from,
		}));
		await delay(pauseMs);
	}

	const [calls, harmlessCalls] = await Promise.all([Promise.all(pending), Promise.all(pendingHarmless)]);
	return {path, calls: calls.map(({record}) => ({...record, ...leaving})), harmlessCalls: harmlessCalls.map(({record}) => record)};
}
