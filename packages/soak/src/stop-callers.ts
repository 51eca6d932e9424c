/** Callers that keep using connections to one instance until its process has ended. */
import {setTimeout as delay} from 'node:timers/promises';
import {PipelinedCaller} from '@cairnbank/platform/spec-support/pipelined-caller';
import type {CallRecord} from './history.js';
import {isReusable, sendAhead, type AheadRequest} from './pipelined-requests.js';

const pauseMs = 15;
const pollMs = 2;
const reconnectPauseMs = 50;
/** A slow reader takes what has arrived once in this time. */
const readIntervalMs = 300;
const readMs = 1;

export type StopCallerPlan = {
	readonly pace: 'one-at-a-time' | 'ahead' | 'reads-slowly';
	/** Time from the start of the event. */
	readonly startMs: number;
	/** Requests that are sent in one write. */
	readonly requestsAhead: number;
	readonly method: 'GET' | 'POST';
	/** Processing time of the requests that are sent before the signal; longer than a grace period if upstreams should not answer before its end. */
	readonly workMs: number;
	/** Bytes that upstreams append to the text of each answer. */
	readonly paddingBytes: number;
};

export type StopCallerOptions = {
	/** Part of the ids of its requests, unique in a run. */
	readonly name: string;
	/** `IP:port` of the instance. */
	readonly address: string;
	readonly plan: StopCallerPlan;
	readonly isSignalled: () => boolean;
	readonly hasEnded: () => boolean;
};

/** Sends requests until the process of the instance has ended; resolves once all have ended. */
export async function runStopCaller({name, address, plan, isSignalled, hasEnded}: StopCallerOptions): Promise<CallRecord[]> {
	await delay(plan.startMs);
	const records: CallRecord[] = [];
	for (let connections = 0; !hasEnded(); connections++) {
		const caller = new PipelinedCaller(address);
		await connected(caller);
		const reader = plan.pace === 'reads-slowly' ? new SlowReader(caller) : undefined;
		const connection = {
			caller, name: `${name}#${connections}`, address, ...(reader === undefined ? {} : {lastReadAtMs: () => reader.lastReadAtMs}),
		};
		while (isReusable(caller) && !hasEnded()) {
			const requests = Array.from({length: plan.requestsAhead}, (_, index) => createRequest(`${name}-${records.length + index}`, plan, isSignalled()));
			records.push(...await sendAhead(connection, requests));
			await delay(pauseMs);
		}

		caller.leave();
		await reader?.closed;
		await delay(reconnectPauseMs);
	}

	return records;
}

/** Requests that come after the signal take no long time, as one that arrives before the instance has noticed the signal would be cut. */
function createRequest(id: string, {method, workMs, paddingBytes}: StopCallerPlan, isSignalled: boolean): AheadRequest {
	const work = isSignalled || workMs === 0 ? '' : `/work-${workMs}`;
	const padding = paddingBytes === 0 ? '' : `/pad-${paddingBytes}`;
	return {
		id, method, path: `/${method === 'POST' ? 'pay' : 'read'}${work}${padding}/${id}`, paddingBytes,
	};
}

/** Resolves once the connection is open, or was refused: what is sent on none is no request of the instance. */
async function connected(caller: PipelinedCaller): Promise<void> {
	while (!caller.isConnected && !caller.isClosed) {
		await delay(pollMs);
	}
}

/** Reads a part of what has arrived from time to time. */
class SlowReader {
	/** Last time at which the connection was open and no answer was left to read. */
	lastReadAtMs = performance.now();
	readonly closed: Promise<void>;

	constructor(caller: PipelinedCaller) {
		this.closed = this.#readUntilClosed(caller);
	}

	async #readUntilClosed(caller: PipelinedCaller): Promise<void> {
		while (!caller.isClosed) {
			caller.pauseReading();
			await delay(readIntervalMs);
			const readBefore = caller.answers.length;
			caller.resumeReading();
			await delay(readMs);
			if (!caller.isClosed && caller.answers.length === readBefore) {
				this.lastReadAtMs = performance.now();
			}
		}
	}
}
