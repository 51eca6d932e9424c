/** Sends requests ahead on one connection and records the result of each. */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import type {PipelinedCaller} from '@cairnbank/platform/spec-support/pipelined-caller';
import type {CallEnd, CallRecord} from './history.js';
import {withoutPadding} from './padding.js';
import {deadlineMs} from './soak-caller.js';

const pollMs = 5;

export type OpenConnection = {
	readonly caller: PipelinedCaller;
	/** Unique among the connections of a run. */
	readonly name: string;
	/** `IP:port` of the instance. */
	readonly address: string;
	/** Returns the last time at which the caller had read all that had arrived; it always has if absent. */
	readonly lastReadAtMs?: () => number;
};

export type AheadRequest = Pick<CallRecord, 'id' | 'method' | 'path'> & {
	/** Bytes that upstreams append to the text of the answer; the record leaves them out. */
	readonly paddingBytes?: number;
};

export function isReusable({answers, isClosed}: PipelinedCaller): boolean {
	return !isClosed && answers.at(-1)?.closes !== true;
}

/** Sends all requests at once; resolves once each is answered or the connection has closed. */
export async function sendAhead({caller, name, address, lastReadAtMs}: OpenConnection, requests: readonly AheadRequest[]): Promise<CallRecord[]> {
	const sentAtMs = performance.now();
	const firstIndex = caller.answers.length;
	const endedAtMs: number[] = [];
	let lastByteAtMs = caller.isConnected ? sentAtMs : undefined;
	caller.send(...requests.map(request => ({...request, deadlineMs})));
	// A paused instance does not answer, so its callers give up after twice their deadline.
	while (endedAtMs.length < requests.length && !caller.isClosed && performance.now() < sentAtMs + (2 * deadlineMs)) {
		await delay(pollMs);
		lastByteAtMs ??= caller.isConnected ? performance.now() : undefined;
		while (endedAtMs.length < caller.answers.length - firstIndex) {
			endedAtMs.push(performance.now());
		}
	}

	const hasLeft = !caller.isClosed && endedAtMs.length < requests.length;
	// A caller that reads slowly notices the end of its connection late.
	const closedAtMs = Math.max(sentAtMs, lastReadAtMs?.() ?? performance.now());
	if (hasLeft) {
		caller.leave();
	}

	return requests.map(({id, method, path, paddingBytes = 0}, index) => ({
		id,
		method,
		path,
		idempotent: method === 'GET',
		instance: address.split(':')[0]!,
		sentAtMs,
		...(lastByteAtMs === undefined ? {} : {sent: {connection: name, lastByteAtMs}}),
		endedAtMs: endedAtMs[index] ?? closedAtMs,
		end: endOf(caller, firstIndex + index, hasLeft, paddingBytes),
	}));
}

function endOf(caller: PipelinedCaller, index: number, hasLeft: boolean, paddingBytes: number): CallEnd {
	const answer = caller.answers[index];
	if (answer !== undefined) {
		const body = Buffer.from(answer.body).toString();
		return {
			type: 'answered',
			status: answer.status,
			requestId: answer.id ?? '',
			signature: answer.signature ?? '',
			body: withoutPadding(body, paddingBytes),
		};
	}

	if (hasLeft) {
		return {type: 'left'};
	}

	return {type: caller.isConnected ? 'cut' : 'refused'};
}
