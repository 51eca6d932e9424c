/** A caller that sends idempotent requests ahead on a kept connection, and records the result of each. */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {PipelinedCaller} from '@cairnbank/platform/spec-support/pipelined-caller';
import type {CallEnd, CallRecord} from './history.js';

const deadlineMs = 4000;
const pauseMs = 30;
const pollMs = 5;
const reconnectPauseMs = 100;
/** Requests that are sent in one write. */
const requestsAhead = 3;
const roundsPerConnection = 40;

export type SendingAheadCallerOptions = {
	readonly name: string;
	/** Returns an address, `IP:port`, of an instance that accepts callers; undefined if none is known. */
	readonly resolve: () => Promise<string | undefined>;
	readonly stop: AbortSignal;
};

/** Sends requests until `stop` aborts. */
export async function runSendingAheadCaller({name, resolve, stop}: SendingAheadCallerOptions): Promise<CallRecord[]> {
	const records: CallRecord[] = [];
	while (!stop.aborted) {
		const address = await resolve();
		if (address !== undefined) {
			const caller = new PipelinedCaller(address);
			for (let round = 0; round < roundsPerConnection && isReusable(caller) && !stop.aborted; round++) {
				const ids = Array.from({length: requestsAhead}, (_, index) => `${name}-${records.length + index}`);
				records.push(...await sendAhead(caller, address, ids));
				await delay(pauseMs);
			}

			caller.leave();
		}

		await delay(reconnectPauseMs);
	}

	return records;
}

function isReusable({answers, isClosed}: PipelinedCaller): boolean {
	return !isClosed && answers.at(-1)?.closes !== true;
}

/** Sends one request for each id at once; resolves once each is answered or the connection has closed. */
async function sendAhead(caller: PipelinedCaller, address: string, ids: readonly string[]): Promise<CallRecord[]> {
	const sentAtMs = performance.now();
	const firstIndex = caller.answers.length;
	const endedAtMs: number[] = [];
	caller.send(...ids.map(id => ({id, path: `/read/${id}`, deadlineMs})));
	// A paused instance does not answer, so its callers give up after twice their deadline.
	while (endedAtMs.length < ids.length && !caller.isClosed && performance.now() < sentAtMs + (2 * deadlineMs)) {
		await delay(pollMs);
		while (endedAtMs.length < caller.answers.length - firstIndex) {
			endedAtMs.push(performance.now());
		}
	}

	const hasLeft = !caller.isClosed && endedAtMs.length < ids.length;
	if (hasLeft) {
		caller.leave();
	}

	return ids.map((id, index) => ({
		id,
		method: 'GET',
		path: `/read/${id}`,
		idempotent: true,
		instance: address.split(':')[0]!,
		sentAtMs,
		endedAtMs: endedAtMs[index] ?? performance.now(),
		end: endOf(caller, firstIndex + index, hasLeft),
	}));
}

function endOf(caller: PipelinedCaller, index: number, hasLeft: boolean): CallEnd {
	const answer = caller.answers[index];
	if (answer !== undefined) {
		return {
			type: 'answered', status: answer.status, requestId: answer.id ?? '', signature: answer.signature ?? '', body: Buffer.from(answer.body).toString(),
		};
	}

	if (hasLeft) {
		return {type: 'left'};
	}

	return {type: caller.isConnected ? 'cut' : 'refused'};
}
