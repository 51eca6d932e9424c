/**
 * A single attempt: sends a request once, to one upstream, on one connection.
 *
 * Before `onRequestStart` nothing has been sent, so after a failure the request provably did not run. Later it is unknown after a failure
 * whether the request ran, unless the upstream itself answers that it shed the request.
 */
import type {UpstreamId} from '@cairnbank/core';
import type {AttemptResult, RawHeaders} from '@cairnbank/core/outcomes';
import {BlockBuffer} from '@cairnbank/core/runtime';
import {headerNames} from '@cairnbank/protocol/headers';
import type {Dispatcher} from 'undici';
import type {HopSpan} from '../../tracing/call-trace.js';
import {isDelimited, type AnswerHeaders} from './answer-framing.js';
import {requestHeaders, toRawHeaders, type HeaderBytes} from './attempt-headers.js';
import type {Call} from './call.js';
import type {CancellationReason} from './cancellation.js';
import type {HeldAnswers} from './held-answers.js';
import {parseRetryAfterMs} from './retry-after.js';

const shedStatusCode = 503;
const firstFinalStatusCode = 200;
const lastStatusCode = 599;

/** The reason why an attempt is cancelled before the upstream has answered. */
export type CancelReason = CancellationReason | 'deadline-exceeded';

export type AttemptOptions = {
	readonly call: Call;
	readonly dispatcher: Dispatcher;
	readonly upstream: UpstreamId;
	readonly remainingMs: number;
	/** Answers up to this size are fully buffered. */
	readonly heldAnswerBytes: number;
	readonly heldAnswers: HeldAnswers;
	/** Called with the headers of the answer, which may contain drain marks and load reports. */
	readonly onHead?: (headers: AnswerHeaders) => void;
	/** Called when the answer is too large to be buffered and is streamed to the caller from now on. */
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
	readonly #body = new BlockBuffer();
	#heldBytes = 0;

	constructor(options: AttemptOptions) {
		this.#options = options;
		this.#hop = options.call.trace.hop('attempt', {upstream: options.upstream});
	}

	/** Whether the answer has the no-retry header, which means that the request must not be retried. */
	get noRetry(): boolean {
		return this.#noRetry;
	}

	/** Whether the connection was lost while the request was in flight on it. */
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
	 * Cancels the attempt and closes its connection if the request may have been sent on it.
	 * @returns false if the attempt had already ended
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

		this.#controller?.abort(new Error('attempt cancelled'));
		return true;
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#settled) {
			// Throwing ends only this request; an abort would also close the unused connection.
			throw new Error('attempt was cancelled before a connection became available');
		}

		if (this.#started) {
			// On a second start undici would send a request again that may already have run.
			this.#settle({type: 'unknown', reason: 'connection-lost'});
			controller.abort(new Error('request must not be sent a second time'));
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
		const fault = findHeadFault(this.#options.call.method, statusCode, headers);
		if (fault !== undefined) {
			this.#settle({type: 'unknown', reason: 'answer-truncated'});
			controller.abort(new Error(fault));
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

		this.#body.add(chunk);
		const grownBytes = this.#body.allocatedBytes - this.#heldBytes;
		this.#heldBytes += grownBytes;
		this.#options.heldAnswers.add(grownBytes);
		if (this.#body.bytes > this.#options.heldAnswerBytes || this.#options.heldAnswers.isFull) {
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
		return {type: 'answered', answer: {statusCode: this.#statusCode, headers: this.#headers, body: this.#body.takeBytes()}};
	}

	#beginStreaming(controller: Dispatcher.DispatchController): void {
		const {call: {sink}, onStreamingStart} = this.#options;
		if (!sink) {
			this.#settle({type: 'unknown', reason: 'answer-not-held'});
			controller.abort(new Error('answer is too large to be buffered and cannot be streamed'));
			return;
		}

		this.#streaming = true;
		onStreamingStart();
		sink.begin(this.#statusCode, this.#headers);
		const parts = this.#body.takeParts();
		this.#releaseBuffer();
		for (const chunk of parts) {
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
		this.#body.discard();
	}

	#settle(result: AttemptResult): void {
		this.#settled = true;
		this.#releaseBuffer();
		this.#hop.end(result.type);
		this.#options.onEnd(result);
	}
}

/** @returns the reason why a head does not begin an answer that can be passed on, if it does not */
function findHeadFault(method: string, statusCode: number, headers: AnswerHeaders): string | undefined {
	if (statusCode > lastStatusCode) {
		return 'answer has a status that does not exist';
	}

	return isDelimited(method, statusCode, headers) ? undefined : 'answer has neither a content length nor chunked encoding';
}
