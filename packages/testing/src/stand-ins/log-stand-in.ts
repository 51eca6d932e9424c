/** Stand-in for the platform's append-only log, with the HTTP protocol of `HttpLogClient`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {systemClock, type Clock} from '@cairnbank/core';
import {createControlServer} from './control-server.js';
import {readJson, sendJson} from './json-body.js';
import {Listener} from './listener.js';
import {logFaultsSchema, type LogFaults, type LogFaultsPatch} from './log-faults.js';
import {LogStream, type LogRetention} from './log-stream.js';

const recordsPath = /^\/streams\/(?<stream>[^/]+)\/records$/u;
const windowMs = 1000;
const defaultPageLimit = 100;

export type LogStandInOptions = {
	readonly port?: number;
	readonly controlPort?: number;
	readonly retention?: LogRetention;
	readonly clock?: Clock;
};

/** Serves the log and its control endpoint, and simulates the faults that are set. */
export class LogStandIn {
	/** Number of appends that took effect, acknowledged or not. */
	appends = 0;
	reads = 0;
	readonly #options: LogStandInOptions;
	readonly #clock: Clock;
	readonly #streams = new Map<string, LogStream>();
	readonly #listener = new Listener((request, response) => {
		void this.#handle(request, response);
	});

	readonly #control = createControlServer({
		'GET /_faults': () => this.#faults,
		'PUT /_faults': async body => this.setFaults(body as LogFaultsPatch),
		'GET /_counters': () => ({appends: this.appends, reads: this.reads}),
		'POST /_expire': body => {
			const {stream, beforeOffset} = body as {stream: string; beforeOffset: number};
			this.expire(stream, beforeOffset);
		},
	});

	#faults: LogFaults = logFaultsSchema.parse({});
	#retention: LogRetention;
	#windowStartMs = 0;
	#windowAppends = 0;

	constructor(options: LogStandInOptions = {}) {
		this.#options = options;
		this.#clock = options.clock ?? systemClock;
		this.#retention = options.retention ?? {};
	}

	get url(): string {
		return this.#listener.url;
	}

	get controlUrl(): string {
		return this.#control.url;
	}

	async start(): Promise<this> {
		await this.#listener.open(this.#options.port ?? 0);
		await this.#control.open(this.#options.controlPort ?? 0);
		return this;
	}

	async stop(): Promise<void> {
		await this.#listener.close();
		await this.#control.close();
	}

	/** Sets the given faults and keeps the others. */
	async setFaults(patch: LogFaultsPatch): Promise<void> {
		this.#faults = logFaultsSchema.parse({...this.#faults, ...patch});
		await (this.#faults.down === 'refuse' ? this.#listener.close() : this.#listener.open());
	}

	setRetention(retention: LogRetention): void {
		this.#retention = retention;
	}

	/** Drops the records of a stream below an offset, as retention does. */
	expire(stream: string, beforeOffset: number): void {
		this.stream(stream).expire(this.#retention, beforeOffset);
	}

	/** Returns the stream for direct access by tests, without faults; creates it if it does not exist. */
	stream(name: string): LogStream {
		const found = this.#streams.get(name) ?? new LogStream(this.#clock);
		this.#streams.set(name, found);
		return found;
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {down, delayMs} = this.#faults;
		if (down === 'hang') {
			return;
		}

		if (down === 'unavailable') {
			sendJson(response, 503, {message: 'unavailable'});
			return;
		}

		const url = new URL(request.url ?? '/', this.url);
		const stream = recordsPath.exec(url.pathname)?.groups?.stream;
		if (stream === undefined) {
			sendJson(response, 404, {message: 'no such path'});
			return;
		}

		try {
			const body = request.method === 'POST' ? await readJson(request) : undefined;
			await delay(delayMs);
			if (request.method === 'POST') {
				this.#append(this.stream(decodeURIComponent(stream)), body, response);
			} else {
				await this.#read(this.stream(decodeURIComponent(stream)), url.searchParams, response);
			}
		} catch (error) {
			sendJson(response, 400, {message: (error as Error).message});
		}
	}

	#append(stream: LogStream, value: unknown, response: ServerResponse): void {
		if (!this.#tryTakeAppend()) {
			sendJson(response, 429, {message: 'too many appends'});
			return;
		}

		const offset = stream.append(value);
		this.appends += 1;
		if (this.#faults.loseAcknowledgements > 0) {
			this.#faults = {...this.#faults, loseAcknowledgements: this.#faults.loseAcknowledgements - 1};
			response.socket?.destroy();
			return;
		}

		sendJson(response, 201, {offset});
	}

	async #read(stream: LogStream, query: URLSearchParams, response: ServerResponse): Promise<void> {
		const fromOffset = Number(query.get('from') ?? 1);
		const waitMs = Number(query.get('waitMs') ?? 0);
		this.reads += 1;
		if (waitMs > 0 && stream.endOffset < fromOffset) {
			await stream.waitForAppend(waitMs);
		}

		if (this.#faults.down !== 'no') {
			response.socket?.destroy();
			return;
		}

		stream.expire(this.#retention);
		sendJson(response, 200, stream.readPage(fromOffset, Number(query.get('limit') ?? defaultPageLimit)));
	}

	/** Counts the append in the current window of one second; returns false if the rate limit is exceeded. */
	#tryTakeAppend(): boolean {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#windowStartMs >= windowMs) {
			this.#windowStartMs = nowMs;
			this.#windowAppends = 0;
		}

		this.#windowAppends += 1;
		return this.#windowAppends <= (this.#faults.appendsPerSecond ?? Number.POSITIVE_INFINITY);
	}
}
