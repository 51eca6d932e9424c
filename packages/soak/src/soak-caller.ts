/** A caller that reuses its connection to an instance until the instance closes it, and records the result of each request. */
import {Agent, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import {readAnswerHeaders, callerHeaders} from '@cairnbank/platform/spec-support/caller-request';
import type {CallEnd, CallRecord, SentRecord} from './history.js';
import {withoutPadding} from './padding.js';
import type {RequestBursts} from './schedule.js';

const pauseMs = 15;
/** Deadline of each request. */
export const deadlineMs = 4000;
const reconnectPauseMs = 100;
/** One request in this many is a payment, which must not run twice. */
const requestsPerPayment = 3;

export type SoakCallerOptions = {
	readonly name: string;
	readonly random: RandomSource;
	/** Returns addresses, `IP:port`, of instances that accept callers. */
	readonly resolve: () => Promise<readonly string[]>;
	readonly stop: AbortSignal;
	/** Undefined if requests follow each other without bursts. */
	readonly bursts: RequestBursts | undefined;
	/** After this many requests, the caller resolves addresses again. With infinity, it keeps a connection until the instance closes it. */
	readonly requestsPerConnection: number;
};

type CallerRequest = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly from?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time after which the caller leaves although the instance may still answer. */
	readonly leavesAfterMs?: number;
	/** Deadline that its headers state; that of all callers if absent. */
	readonly deadlineMs?: number;
	/** Bytes that the upstream appends to the text of the answer; the record leaves them out. */
	readonly paddingBytes?: number;
};

function pauseAfter(sent: number, bursts: RequestBursts | undefined): number {
	return bursts !== undefined && sent % bursts.requests === 0 ? bursts.pauseMs : pauseMs;
}

/** Sends requests until `stop` aborts. */
export async function runSoakCaller({
	name, random, resolve, stop, bursts, requestsPerConnection,
}: SoakCallerOptions): Promise<CallRecord[]> {
	const records: CallRecord[] = [];
	while (!stop.aborted) {
		const addresses = await resolve();
		const address = addresses[random.nextInteger(Math.max(1, addresses.length))];
		if (address === undefined) {
			await delay(reconnectPauseMs);
			continue;
		}

		const agent = new Agent({keepAlive: true, maxSockets: 1});
		let connectionIsReusable = true;
		for (let sent = 0; connectionIsReusable && sent < requestsPerConnection && !stop.aborted; sent++) {
			const isPayment = random.nextInteger(requestsPerPayment) === 0;
			const id = `${name}-${records.length}`;
			const {record, keepsConnection} = await callOnce(address, {id, method: isPayment ? 'POST' : 'GET', path: isPayment ? `/pay/${id}` : `/read/${id}`}, agent);
			records.push(record);
			connectionIsReusable = keepsConnection;
			await delay(connectionIsReusable ? pauseAfter(records.length, bursts) : reconnectPauseMs, undefined, {signal: stop}).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		}

		agent.destroy();
	}

	return records;
}

/** Sends one request. Resolves with its record and whether the connection can be reused. */
export async function callOnce(address: string, callerRequest: CallerRequest, agent?: Agent): Promise<{record: CallRecord; keepsConnection: boolean}> {
	const sentAtMs = performance.now();
	const {id, method, path} = callerRequest;
	const {end, keepsConnection, sent} = await exchange(address, callerRequest, agent);
	const record: CallRecord = {
		id, method, path, idempotent: method === 'GET', instance: address.split(':')[0]!, sentAtMs, endedAtMs: performance.now(), end, ...(sent === undefined ? {} : {sent}),
		...(callerRequest.deadlineMs === undefined ? {} : {deadlineMs: callerRequest.deadlineMs}),
	};
	return {record, keepsConnection};
}

type Exchange = {readonly end: CallEnd; readonly keepsConnection: boolean; readonly sent?: SentRecord | undefined};

async function exchange(address: string, callerRequest: CallerRequest, agent?: Agent): Promise<Exchange> {
	const {
		id, method, path, from, headers, deadlineMs: statedDeadlineMs = deadlineMs, leavesAfterMs = 2 * statedDeadlineMs, paddingBytes = 0,
	} = callerRequest;
	const [host, port] = address.split(':');
	let sent: SentRecord | undefined;
	return new Promise(resolve => {
		const outgoing = request({
			host, port, localAddress: from, method, path, agent: agent ?? false, headers: {...callerHeaders(id, statedDeadlineMs), ...headers},
		}, response => {
			let body = '';
			response.on('data', chunk => {
				body += String(chunk);
			});
			response.on('end', () => {
				const end: CallEnd = {
					type: 'answered',
					status: response.statusCode ?? 0,
					...readAnswerHeaders(response.headers),
					body: withoutPadding(body, paddingBytes),
				};
				resolve({end: response.complete ? end : {type: 'cut'}, sent, keepsConnection: response.complete && response.headers.connection !== 'close'});
			});
			response.on('error', () => {
				resolve({end: {type: 'cut'}, sent, keepsConnection: false});
			});
		});
		// Emitted once the system has taken the last byte.
		outgoing.on('finish', () => {
			const {socket} = outgoing;
			if (socket !== null) {
				sent = {connection: `${socket.localAddress}:${socket.localPort}`, lastByteAtMs: performance.now()};
			}
		});
		// A paused instance does not answer, so its callers give up after twice their deadline.
		let hasLeft = false;
		outgoing.setTimeout(leavesAfterMs, () => {
			hasLeft = true;
			outgoing.destroy(new Error('no answer'));
		});
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			const type = error.code === 'ECONNREFUSED' ? 'refused' : 'cut';
			resolve({end: {type: hasLeft ? 'left' : type}, sent, keepsConnection: false});
		});
		outgoing.end(method === 'POST' ? 'pay 5' : undefined);
	});
}
