/** A caller that keeps its connection to an instance until that ends it, and records what it was told. */
import {Agent, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import {answerMarks, callerHeaders} from '@cairnbank/platform/spec-support/caller-request';
import type {CallEnd, CallRecord} from './history.js';
import type {RequestBursts} from './schedule.js';

const pauseMs = 15;
const deadlineMs = 4000;
const refusedPauseMs = 100;
/** One request in this many must not run twice. */
const requestsPerPayment = 3;

export type SoakCallerOptions = {
	readonly name: string;
	readonly random: RandomSource;
	/** Addresses of instances that take callers, `IP:port`. */
	readonly resolve: () => Promise<readonly string[]>;
	readonly stop: AbortSignal;
	/** Nothing where requests follow each other all the time. */
	readonly bursts: RequestBursts | undefined;
	/** After so many requests it asks for addresses again; it keeps a connection until its instance ends it otherwise. */
	readonly requestsPerConnection: number;
};

type CallerRequest = {readonly id: string; readonly method: 'GET' | 'POST'; readonly path: string};

function pauseAfter(sent: number, bursts: RequestBursts | undefined): number {
	return bursts !== undefined && sent % bursts.requests === 0 ? bursts.drawPauseMs : pauseMs;
}

/** Runs until it is stopped. */
export async function runSoakCaller({
	name, random, resolve, stop, bursts, requestsPerConnection,
}: SoakCallerOptions): Promise<CallRecord[]> {
	const records: CallRecord[] = [];
	while (!stop.aborted) {
		const addresses = await resolve();
		const address = addresses[random.nextInteger(Math.max(1, addresses.length))];
		if (address === undefined) {
			await delay(refusedPauseMs);
			continue;
		}

		const agent = new Agent({keepAlive: true, maxSockets: 1});
		let isKept = true;
		for (let sent = 0; isKept && sent < requestsPerConnection && !stop.aborted; sent++) {
			const isPayment = random.nextInteger(requestsPerPayment) === 0;
			const id = `${name}-${records.length}`;
			const {record, keepsConnection} = await callOnce(address, {id, method: isPayment ? 'POST' : 'GET', path: isPayment ? `/pay/${id}` : `/read/${id}`}, agent);
			records.push(record);
			isKept = keepsConnection;
			await delay(isKept ? pauseAfter(records.length, bursts) : refusedPauseMs, undefined, {signal: stop}).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		}

		agent.destroy();
	}

	return records;
}

/** Sends one request; resolves with its record and whether the connection may be used again. */
export async function callOnce(address: string, {id, method, path}: CallerRequest, agent?: Agent): Promise<{record: CallRecord; keepsConnection: boolean}> {
	const sentAtMs = performance.now();
	const {end, keepsConnection} = await exchange(address, {id, method, path}, agent);
	const record: CallRecord = {
		id, method, path, idempotent: method === 'GET', instance: address.split(':')[0]!, sentAtMs, endedAtMs: performance.now(), end,
	};
	return {record, keepsConnection};
}

async function exchange(address: string, {id, method, path}: CallerRequest, agent?: Agent): Promise<{end: CallEnd; keepsConnection: boolean}> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const outgoing = request({
			host, port, method, path, agent: agent ?? false, headers: callerHeaders(id, deadlineMs),
		}, response => {
			let body = '';
			response.on('data', chunk => {
				body += String(chunk);
			});
			response.on('end', () => {
				const end: CallEnd = {
					type: 'answered',
					status: response.statusCode ?? 0,
					...answerMarks(response.headers),
					body,
				};
				resolve({end: response.complete ? end : {type: 'cut'}, keepsConnection: response.complete && response.headers.connection !== 'close'});
			});
			response.on('error', () => {
				resolve({end: {type: 'cut'}, keepsConnection: false});
			});
		});
		// A paused instance answers nobody; its callers leave after their deadline.
		let hasLeft = false;
		outgoing.setTimeout(2 * deadlineMs, () => {
			hasLeft = true;
			outgoing.destroy(new Error('no answer'));
		});
		outgoing.on('error', (error: NodeJS.ErrnoException) => {
			const type = error.code === 'ECONNREFUSED' ? 'refused' : 'cut';
			resolve({end: {type: hasLeft ? 'left' : type}, keepsConnection: false});
		});
		outgoing.end(method === 'POST' ? 'pay 5' : undefined);
	});
}
