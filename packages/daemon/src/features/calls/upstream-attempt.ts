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
import {isDelimited, type AnswerHeaders} from './answer-framing.js';
import {requestHeaders, toRawHeaders, type HeaderBytes} from './attempt-headers.js';
import type {Call} from './call.js';
import type {HeldAnswers} from './held-answers.js';
import {parseRetryAfterMs} from './retry-after.js';

const shedStatusCode = 503;
const firstFinalStatusCode = 200;

/** Why an attempt is given up before its upstream answered. */
export type CancelReason = 'caller-gone' | 'deadline-exceeded';

export type AttemptOptions = {
	readonly call: Call;
	readonly dispatcher: Dispatcher;
	readonly upstream: UpstreamId;
	readonly remainingMs: number;
	/** Answers up to this size are held whole. */
	readonly heldAnswerBytes: number;
	readonly heldAnswers: HeldAnswers;
	/** Sees the answer's head, for drain marks and load reports. */
	readonly onHead?: (headers: AnswerHeaders) => void;
	/** The answer is too large to be held and goes to the caller from now on. */
	readonly onStreamingStart: () => void;
	readonly onEnd: (result: AttemptResult) => void;
};

export class UpstreamAttempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	readonly #hop: HopSpan;
	#controller: Dispatcher.DispatchController | undefined;
	#started = false;
	#settled = false;
	#streaming = false;
	#statusCode = 0;
	#headers: RawHeaders = [];
	#shedRetryAfterMs: number | undefined;
	#shed = false;
	#noRetry = false;
	#connectionLost = false;
	#chunks: Uint8Array[] = [];
	#heldBytes = 0;

	constructor(options: AttemptOptions) {
		this.#options = options;
		this.#hop = options.call.trace.hop('attempt', {upstream: options.upstream});
	}

	/** Whether the answer was marked as the end of a retried path. */
	get noRetry(): boolean {
		return this.#noRetry;
	}

	/** Whether the connection broke with the request on it. */
	get isConnectionLost(): boolean {
		return this.#connectionLost;
	}

	/** Sends the request; `onEnd` is called exactly once, before or after this returns. */
	dispatch(): void {
		const {call, dispatcher, remainingMs} = this.#options;
		dispatcher.dispatch({
			path: call.path,
			method: call.method,
			headers: requestHeaders(call, remainingMs, this.#hop.headers),

			body: call.body ?? null,
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this);
	}

	/**
	 * Gives the attempt up and closes its connection if the request may be on it.
	 * @returns false where it had ended before
	 */
	cancel(reason: CancelReason): boolean {
		if (this.#settled) {
			return false;
		}

		if (this.#streaming) {
			this.#options.call.sink!.abort();
			this.#settle({type: 'broken-off'});
		} else {
			this.#settle(this.#started ? {type: 'unknown', reason} : {type: 'not-run', reason});
		}

		this.#controller?.abort(new Error('attempt given up'));
		return true;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#settled) {
			// A throw ends this request alone; an abort would close the unused connection as well.
			throw new Error('attempt was given up before its connection was free');
		}

		if (this.#started) {
			// A second start would mean that the library sends again what may already have run.
			this.#settle({type: 'unknown', reason: 'connection-lost'});
			controller.abort(new Error('request must not be sent twice'));
			return;
		}

		this.#started = true;
		this.#controller = controller;
	}

	onResponseStart(controller: Dispatcher.DispatchController, statusCode: number, headers: AnswerHeaders): void {
		if (statusCode < firstFinalStatusCode || this.#settled) {
			return;
		}

		this.#statusCode = statusCode;
		this.#noRetry = headers[headerNames.noRetry] !== undefined;
		if (!isDelimited(this.#options.call.method, statusCode, headers)) {
			this.#settle({type: 'unknown', reason: 'answer-truncated'});
			controller.abort(new Error('answer without a length'));
			return;
		}

		this.#headers = toRawHeaders(controller.rawHeaders as HeaderBytes[]);
		if (statusCode === shedStatusCode && headers[headerNames.outcome] === 'not-run') {
			this.#shed = true;
			this.#shedRetryAfterMs = parseRetryAfterMs(headers['retry-after']);
		}

		this.#options.onHead?.(headers);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#settled) {
			return;
		}

		if (this.#streaming) {
			this.#writeToSink(controller, chunk);
			return;
		}

		this.#chunks.push(chunk);
		this.#heldBytes += chunk.length;
		this.#options.heldAnswers.add(chunk.length);
		if (this.#heldBytes > this.#options.heldAnswerBytes || this.#options.heldAnswers.isFull) {
			this.#beginStreaming(controller);
		}
	}

	onResponseEnd(): void {
		if (this.#settled) {
			return;
		}

		if (this.#streaming) {
			this.#options.call.sink!.end();
			this.#settle({type: 'streamed', statusCode: this.#statusCode});
			return;
		}

		this.#settle(this.#shed ? this.#shedResult() : this.#bufferedAnswer());
	}

	onResponseError(): void {
		if (this.#settled) {
			return;
		}

		this.#connectionLost = this.#started;

		if (this.#streaming) {
			this.#options.call.sink!.abort();
			this.#settle({type: 'broken-off'});
		} else if (this.#started) {
			this.#settle({type: 'unknown', reason: this.#statusCode === 0 ? 'connection-lost' : 'answer-truncated'});
		} else {
			this.#settle({type: 'not-run', reason: 'connection-refused'});
		}
	}

	#shedResult(): AttemptResult {
		const waitMs = this.#shedRetryAfterMs;
		return {type: 'not-run', reason: 'shed-by-upstream', ...(waitMs === undefined ? {} : {retryAfterMs: waitMs})};
	}

	#bufferedAnswer(): AttemptResult {
		const body = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
		return {type: 'answered', answer: {statusCode: this.#statusCode, headers: this.#headers, body}};
	}

	#beginStreaming(controller: Dispatcher.DispatchController): void {
		const {call: {sink}, onStreamingStart} = this.#options;
		if (!sink) {
			this.#settle({type: 'unknown', reason: 'answer-not-held'});
			controller.abort(new Error('answer too large to be held'));
			return;
		}

		this.#streaming = true;
		onStreamingStart();
		sink.begin(this.#statusCode, this.#headers);
		const chunks = this.#chunks;
		this.#releaseBuffer();
		for (const chunk of chunks) {
			this.#writeToSink(controller, chunk);
		}
	}

	#writeToSink(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const sink = this.#options.call.sink!;
		if (!sink.write(chunk) && !controller.paused) {
			controller.pause();
			sink.onDrain(() => {
				controller.resume();
			});
		}
	}

	#releaseBuffer(): void {
		this.#options.heldAnswers.remove(this.#heldBytes);
		this.#heldBytes = 0;
		this.#chunks = [];
	}

	#settle(result: AttemptResult): void {
		this.#settled = true;
		this.#releaseBuffer();
		this.#hop.end(result.type);
		this.#options.onEnd(result);
	}
}
