/** Callers that ask the directory for addresses, follow their time to live, and retry on new connections, as the callers of a large fleet do. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {RandomSource} from '@cairnbank/core';
import type {AddressList} from '@cairnbank/platform/spec-support/instance-process';
import {PipelinedCaller} from '@cairnbank/platform/spec-support/pipelined-caller';
import {pick} from './further-events.js';
import type {CallRecord} from './history.js';
import {
	isReusable, sendAhead, type AheadRequest, type OpenConnection,
} from './pipelined-requests.js';
import {callOnce} from './soak-caller.js';

export type FleetCallerPlan = {
	/** Keeps one connection for one request at a time, opens one for each request, or keeps one and sends safe requests ahead on it. */
	readonly connections: 'kept' | 'new' | 'ahead';
	readonly method: 'GET' | 'POST';
	/** Keeps addresses for this many times their time to live. */
	readonly keepsAddresses: number;
	readonly deadlineMs: number;
	readonly pauseMs: number;
};

export type FleetCallerOptions = {
	/** Part of the ids of its requests, unique in a run. */
	readonly name: string;
	readonly plan: FleetCallerPlan;
	readonly random: RandomSource;
	readonly stop: AbortSignal;
	readonly lookUp: () => Promise<AddressList>;
	/** Returns the address at which an instance is reached. */
	readonly via: (address: string) => string;
};

type AheadConnection = OpenConnection & {readonly isLinked: boolean};

const shortestWorkMs = 250;
const longestUsualWorkMs = 320;
const tailOneIn = 30;
const tailFactor = 4;
const paddings = [400, 5000, 90_000] as const;
const mostAhead = 4;
const mostAttempts = 3;
const retryPauseMs = 20;
const noAddressPauseMs = 100;
/** Statuses that promise that the request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
const finalStatuses = new Set([400, 401, 404, 413, 431]);
const firstFailureStatus = 400;

export class FleetCaller {
	readonly #options: FleetCallerOptions;
	readonly #records: CallRecord[] = [];
	#addresses: readonly string[] = [];
	#resolveAtMs = 0;
	readonly #failed = new Set<string>();
	#kept: {readonly address: string; readonly agent: Agent} | undefined;
	#ahead: AheadConnection | undefined;
	#requests = 0;

	constructor(options: FleetCallerOptions) {
		this.#options = options;
	}

	/** Sends requests until `stop` aborts. */
	async run(): Promise<CallRecord[]> {
		const {plan: {connections, pauseMs}, random, stop} = this.#options;
		await delay(random.nextInteger(2 * pauseMs));
		while (!stop.aborted) {
			await this.#refreshAddresses();
			await (connections === 'ahead' ? this.#sendAhead() : this.#sendWithRetries());
			await delay(random.nextInteger(2 * pauseMs));
		}

		this.#kept?.agent.destroy();
		this.#ahead?.caller.leave();
		return this.#records;
	}

	/** Stops using connections to addresses that a new list lacks. */
	async #refreshAddresses(): Promise<void> {
		if (this.#addresses.length > 0 && performance.now() < this.#resolveAtMs) {
			return;
		}

		const {addresses, ttlMs} = await this.#options.lookUp();
		if (addresses.length === 0) {
			return;
		}

		this.#addresses = addresses;
		this.#failed.clear();
		this.#resolveAtMs = performance.now() + (this.#options.plan.keepsAddresses * ttlMs);
		if (this.#kept !== undefined && !addresses.includes(this.#kept.address)) {
			this.#kept.agent.destroy();
			this.#kept = undefined;
		}

		if (this.#ahead !== undefined && !addresses.includes(this.#ahead.address)) {
			this.#ahead.caller.leave();
			this.#ahead = undefined;
		}
	}

	/** Returns an address for a new connection: not one that failed since the last look-up, if there is another. */
	#pickAddress(): string | undefined {
		const usable = this.#addresses.filter(address => !this.#failed.has(address));
		const candidates = usable.length > 0 ? usable : this.#addresses;
		return candidates[this.#options.random.nextInteger(Math.max(1, candidates.length))];
	}

	#createRequest(): AheadRequest & {readonly paddingBytes: number} {
		const {name, plan: {method}, random} = this.#options;
		const usualMs = shortestWorkMs + random.nextInteger(longestUsualWorkMs - shortestWorkMs);
		const workMs = random.nextInteger(tailOneIn) === 0 ? tailFactor * usualMs : usualMs;
		const paddingBytes = pick(random, paddings);
		const id = `${name}-${this.#requests}`;
		this.#requests += 1;
		return {
			id, method, paddingBytes, path: `/${method === 'POST' ? 'pay' : 'read'}/work-${workMs}/pad-${paddingBytes}/${id}`,
		};
	}

	async #sendWithRetries(): Promise<void> {
		for (let attempt = 0; attempt < mostAttempts; attempt++) {
			const record = await this.#sendOnce();
			if (record === undefined || !mayRetry(record)) {
				return;
			}

			this.#failed.add(record.address);
			await delay(retryPauseMs);
		}
	}

	async #sendOnce(): Promise<CallRecord & {readonly address: string} | undefined> {
		const {plan: {connections, deadlineMs}} = this.#options;
		const address = this.#kept?.address ?? this.#pickAddress();
		if (address === undefined) {
			await delay(noAddressPauseMs);
			return undefined;
		}

		const agent = this.#kept?.agent ?? new Agent({keepAlive: true, maxSockets: 1});
		const reachedAt = this.#options.via(address);
		const {record, keepsConnection} = await callOnce(reachedAt, {...this.#createRequest(), deadlineMs}, agent);
		this.#record([record], {address, isLinked: reachedAt !== address});
		if (connections === 'kept' && keepsConnection) {
			this.#kept = {address, agent};
		} else {
			agent.destroy();
			this.#kept = undefined;
		}

		return {...record, address};
	}

	async #sendAhead(): Promise<void> {
		const connection = this.#ahead ?? this.#openAhead();
		if (connection === undefined) {
			await delay(noAddressPauseMs);
			return;
		}

		const requests = Array.from({length: 1 + this.#options.random.nextInteger(mostAhead)}, () => this.#createRequest());
		const records = await sendAhead(connection, requests);
		this.#record(records, connection);
		if (records.some(record => mayRetry(record))) {
			this.#failed.add(connection.address);
		}

		this.#ahead = isReusable(connection.caller) ? connection : undefined;
		if (this.#ahead === undefined) {
			connection.caller.leave();
		}
	}

	/** When an instance has the last byte of a request is not known where a link lies between them. */
	#record(records: readonly CallRecord[], {address, isLinked}: Pick<AheadConnection, 'address' | 'isLinked'>): void {
		for (const {sent, ...record} of records) {
			this.#records.push({...record, instance: hostOf(address), ...(isLinked || sent === undefined ? {} : {sent})});
		}
	}

	#openAhead(): AheadConnection | undefined {
		const address = this.#pickAddress();
		if (address === undefined) {
			return undefined;
		}

		const reachedAt = this.#options.via(address);
		return {
			address, isLinked: reachedAt !== address, caller: new PipelinedCaller(reachedAt), name: `${this.#options.name}#${this.#requests}`,
		};
	}
}

function hostOf(address: string): string {
	return address.split(':')[0]!;
}

/** Returns whether a caller sends a request once more: a payment only if it has not run. */
function mayRetry({end, idempotent}: CallRecord): boolean {
	switch (end.type) {
		case 'answered': {
			const failed = end.status >= firstFailureStatus && !finalStatuses.has(end.status);
			return failed && (idempotent || notRunStatuses.has(end.status));
		}

		case 'cut':
		case 'left': {
			return idempotent;
		}

		case 'refused': {
			return true;
		}
	}
}
