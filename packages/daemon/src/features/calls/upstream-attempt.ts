/**
 * One attempt at one upstream, on one connection, once.
 *
 * Before `onRequestStart` nothing has left for the upstream, so a failure there is provably not run.
 * After it every failure is unknown, except for the upstream's own shed answer.
 */
import {Buffer} from 'node:buffer';
import type {UpstreamId} from '@cairnbank/core';
import type {AttemptResult, RawHeaders} from '@cairnbank/core/outcomes';
import {headerNames} from '@cairnbank/protocol/headers';
import type {Dispatcher} from 'undici';
import type {HopSpan} from '../../tracing/call-trace.js';
import type {Call} from './call.js';

const shedStatusCode = 503;
const abandoned = 'attempt abandoned';

export type AttemptOptions = {
	readonly call: Call;
	readonly dispatcher: Dispatcher;
	readonly upstream: UpstreamId;
	readonly remainingMs: number;
	/** Answers up to this size are held whole. */
	readonly heldAnswerBytes: number;
	/** Sees the answer's head, for drain marks and load reports. */
	readonly onHead?: (headers: Record<string, string | string[] | undefined>) => void;
};

/** Sends the call's request and collects the answer. */
export async function attemptUpstream(options: AttemptOptions): Promise<AttemptResult> {
	return new Promise(resolve => {
		const attempt = new UpstreamAttempt(options, resolve);
		attempt.dispatch();
	});
}

class UpstreamAttempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	readonly #resolve: (result: AttemptResult) => void;
	readonly #hop: HopSpan;
	#controller: Dispatcher.DispatchController | undefined;
	#stopListening: (() => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#started = false;
	#settled = false;
	#streaming = false;
	#statusCode = 0;
	#headers: RawHeaders = [];
	#shed = false;
	#paused = false;
	#chunks: Uint8Array[] = [];
	#heldBytes = 0;

	constructor(options: AttemptOptions, resolve: (result: AttemptResult) => void) {
		this.#options = options;
		this.#hop = options.call.trace.hop('attempt', {upstream: options.upstream});
		this.#resolve = resolve;
	}

	dispatch(): void {
		const {call, dispatcher, remainingMs} = this.#options;
		this.#stopListening = call.cancellation.onCancel(() => {
			this.#giveUp('caller-gone');
		});
		this.#timer = setTimeout(() => {
			this.#giveUp('deadline-exceeded');
		}, remainingMs);
		dispatcher.dispatch({
			path: call.path,
			method: call.method,
			headers: this.#requestHeaders(),

			body: call.body ?? null,
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#settled) {
			controller.abort(new Error('attempt already ended'));
			return;
		}

		if (this.#started) {
			// A second start would mean that the library sends again what may already have run.
			controller.abort(new Error('request must not be sent twice'));
			this.#settle({type: 'unknown', reason: 'connection-lost'});
			return;
		}

		this.#started = true;
		this.#controller = controller;
	}

	onResponseStart(controller: Dispatcher.DispatchController, statusCode: number, headers: Record<string, string | string[] | undefined>): void {
		if (statusCode < 200) {
			return;
		}

		this.#statusCode = statusCode;
		this.#headers = toRawHeaders(controller.rawHeaders as Uint8Array[]);
		this.#shed = statusCode === shedStatusCode && headers[headerNames.outcome] === 'not-run';
		this.#options.onHead?.(headers);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#settled) {
			return;
		}

		if (this.#streaming) {
			this.#passOn(controller, chunk);
			return;
		}

		this.#chunks.push(chunk);
		this.#heldBytes += chunk.length;
		if (this.#heldBytes > this.#options.heldAnswerBytes) {
			this.#beginStreaming(controller);
		}
	}

	onResponseEnd(): void {
		if (this.#streaming) {
			this.#options.call.sink!.end();
			this.#settle({type: 'streamed', statusCode: this.#statusCode});
			return;
		}

		if (this.#shed) {
			this.#settle({type: 'not-run', reason: 'shed-by-upstream'});
			return;
		}

		const body = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		this.#settle({type: 'answered', answer: {statusCode: this.#statusCode, headers: this.#headers, body}});
	}

	onResponseError(): void {
		if (this.#streaming && !this.#settled) {
			this.#options.call.sink!.abort();
			this.#settle({type: 'broken-off'});
			return;
		}

		if (!this.#started) {
			this.#settle({type: 'not-run', reason: 'connection-refused'});
			return;
		}

		const reason = this.#statusCode === 0 ? 'connection-lost' : 'answer-truncated';
		this.#settle({type: 'unknown', reason});
	}

	#requestHeaders(): string[] {
		const {call, remainingMs} = this.#options;
		const headers = [...call.headers, headerNames.deadlineMs, String(Math.floor(remainingMs))];
		const {traceparent, tracestate} = this.#hop.headers;
		if (traceparent !== undefined) {
			headers.push('traceparent', traceparent);
		}

		if (tracestate !== undefined) {
			headers.push('tracestate', tracestate);
		}

		return headers;
	}

	#beginStreaming(controller: Dispatcher.DispatchController): void {
		const {sink} = this.#options.call;
		if (!sink) {
			controller.abort(new Error('answer too large to be held'));
			this.#settle({type: 'unknown', reason: 'answer-not-held'});
			return;
		}

		this.#streaming = true;
		sink.begin(this.#statusCode, this.#headers);
		for (const chunk of this.#chunks) {
			this.#passOn(controller, chunk);
		}

		this.#chunks = [];
	}

	#passOn(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const sink = this.#options.call.sink!;
		if (sink.write(chunk) || this.#paused) {
			return;
		}

		this.#paused = true;
		controller.pause();
		sink.onDrain(() => {
			this.#paused = false;
			controller.resume();
		});
	}

	#giveUp(reason: 'caller-gone' | 'deadline-exceeded'): void {
		if (this.#settled) {
			return;
		}

		if (this.#streaming) {
			this.#options.call.sink!.abort();
			this.#settle({type: 'broken-off'});
		} else {
			this.#settle(this.#started ? {type: 'unknown', reason} : {type: 'not-run', reason});
		}

		this.#controller?.abort(new Error(abandoned));
	}

	#settle(result: AttemptResult): void {
		if (this.#settled) {
			return;
		}

		this.#settled = true;
		clearTimeout(this.#timer);
		this.#stopListening?.();
		this.#hop.end(result.type);
		this.#resolve(result);
	}
}

function toRawHeaders(rawHeaders: readonly Uint8Array[]): string[] {
	return rawHeaders.map(part => Buffer.from(part.buffer, part.byteOffset, part.length).toString('latin1'));
}
