/** Sends one request to an upstream through another instance. */
import {
	type Agent, type ClientRequest, type IncomingMessage, request as httpRequest,
} from 'node:http';
import type {UpstreamId} from '@cairnbank/core';
import type {AnswerMemory} from '@cairnbank/core/connections';
import type {RelayOutcome, RelayPeer} from '@cairnbank/core/reachability';
import {BlockBuffer} from '@cairnbank/core/runtime';
import {err, type Result} from 'neverthrow';
import {AnswerReading} from '../../kernel/answer-reading.js';
import {TimeLimit} from '../../kernel/time-limit.js';
import type {ExchangeFailure, OutgoingRequest} from '../upstreams/exchange.js';
import {createAnswer, type UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import {
	decodeResult, encodeHead, maximumRelayBodyBytes, maximumRelayHeaderBytes, noLink, relayHeadHeader, relayPath, relayRefusalStatuses,
} from './relay-codec.js';

/** Longest wait for a connection to another instance; a healthy one accepts within a few milliseconds. */
const connectTimeoutMs = 100;
/** The other instance and the upstream give up this much earlier, so that the result still arrives in time. */
const relayHopMs = 4;
const okStatus = 200;

type ExchangeResult = Result<UpstreamAnswer, ExchangeFailure>;

export type RelayedExchangeOptions = {
	readonly upstream: UpstreamId;
	/** The instance that passes the request on; undefined if there is none. */
	readonly peer: RelayPeer | undefined;
	readonly agent: Agent;
	readonly port: number;
	/** Address of this instance, by which the other one recognises it. */
	readonly localAddress: string;
	readonly answerMemory: AnswerMemory<AnswerReading>;
	/** Called when the answer is given up for want of memory, with the bytes that were read of it. */
	readonly onOutgrown: (bytes: number) => void;
	readonly onStart: () => void;
	readonly onEnd: (outcome: RelayOutcome) => void;
};

export class RelayedExchange implements UpstreamChannel {
	readonly isReusable = false;
	readonly hopMs = relayHopMs;
	readonly #options: RelayedExchangeOptions;
	readonly #reading: AnswerReading;
	#request: ClientRequest | undefined;
	#isConnected = false;
	#limit: TimeLimit | undefined;
	#settle: ((result: ExchangeResult) => void) | undefined;

	constructor(options: RelayedExchangeOptions) {
		this.#options = options;
		this.#reading = new AnswerReading({
			memory: options.answerMemory,
			onOutgrown: bytes => {
				options.onOutgrown(bytes);
				this.#abort({type: 'answer-outgrown'}, 'passed-on');
			},
		});
	}

	get relay(): string | undefined {
		return this.#options.peer?.host;
	}

	get isConnected(): boolean {
		return this.#isConnected;
	}

	async exchange(request: OutgoingRequest): Promise<ExchangeResult> {
		const {peer} = this.#options;
		if (peer === undefined) {
			return err({type: 'no-relay', message: 'no other instance has links'});
		}

		if ((request.body?.length ?? 0) > maximumRelayBodyBytes) {
			// The other instance would close the connection under the body, which proves nothing.
			return err({type: 'no-relay', message: 'too-large'});
		}

		this.#options.onStart();
		return new Promise(resolve => {
			this.#settle = resolve;
			this.#setLimit(Math.min(connectTimeoutMs, request.timeoutMs), {type: 'no-relay', message: 'connect timeout'});
			this.#send(peer, request);
		});
	}

	/** Bytes read of the answer so far. */
	get readBytes(): number {
		return this.#reading.readBytes;
	}

	cancel(): void {
		this.#abort({type: 'cancelled'}, 'passed-on');
	}

	close(): void {
		if (this.#settle !== undefined) {
			this.cancel();
		}
	}

	#send(peer: RelayPeer, {body, timeoutMs, fingerprint, onLateEnd: _, ...head}: OutgoingRequest): void {
		const {agent, port, localAddress, upstream} = this.#options;
		const request = httpRequest({
			agent, host: peer.host, port, localAddress, method: 'POST', path: relayPath, maxHeaderSize: maximumRelayHeaderBytes,
			headers: {
				[relayHeadHeader]: encodeHead({
					...head, upstream, fingerprint: fingerprint?.(), timeoutMs: Math.max(1, timeoutMs - relayHopMs),
				}),
				'Content-Length': body?.length ?? 0,
			},
		});
		this.#request = request;
		request.on('socket', socket => {
			const connected = () => {
				this.#isConnected = true;
				this.#setLimit(timeoutMs, {type: 'timed-out'});
			};

			if (socket.connecting) {
				socket.once('connect', connected);
			} else {
				connected();
			}
		});
		request.on('response', response => {
			this.#receive(response);
		});
		request.on('error', error => {
			this.#fail(error.message);
		});
		request.on('close', () => {
			this.#fail('closed');
		});
		for (const part of body?.parts ?? []) {
			request.write(part);
		}

		request.end();
	}

	#receive(response: IncomingMessage): void {
		const body = new BlockBuffer();
		response.on('data', (chunk: Uint8Array) => {
			if (this.#settle !== undefined && this.#reading.add(chunk.length)) {
				body.add(chunk);
			}
		});
		response.on('close', () => {
			body.discard();
		});
		response.on('error', error => {
			this.#fail(error.message);
		});
		response.on('end', () => {
			if (response.statusCode === okStatus) {
				this.#decode(response, body.takeBytes());
			} else {
				this.#refused(new TextDecoder().decode(body.takeBytes()));
			}
		});
	}

	/** Handles an answer without a result. Anything but a known refusal, such as a fault of the other instance, may have come after the request was sent. */
	#refused(reason: string): void {
		if (Object.hasOwn(relayRefusalStatuses, reason)) {
			this.#end(err({type: 'no-relay', message: reason}), reason === noLink ? 'no-link' : 'failed');
		} else {
			this.#fail('failed at the passing instance');
		}
	}

	#decode({headers}: IncomingMessage, body: Uint8Array): void {
		const decoded = decodeResult(String(headers[relayHeadHeader] ?? ''));
		if (decoded.isErr()) {
			this.#end(err({type: 'malformed', message: decoded.error}), 'failed');
			return;
		}

		const answer = decoded.value.andThen(head => createAnswer({...head, body}).mapErr((message): ExchangeFailure => ({type: 'malformed', message})));
		this.#end(answer, 'passed-on');
	}

	/** Handles the loss of the other instance: once connected, it may have passed the request on. */
	#fail(message: string): void {
		this.#abort(this.#isConnected ? {type: 'broken', message} : {type: 'no-relay', message}, 'failed');
	}

	#setLimit(durationMs: number, failure: ExchangeFailure): void {
		this.#limit?.clear();
		this.#limit = new TimeLimit(durationMs, this, () => {
			this.#abort(failure, 'failed');
		});
	}

	/** Closes the connection, so that the other instance cancels the request. */
	#abort(failure: ExchangeFailure, outcome: RelayOutcome): void {
		this.#end(err(failure), outcome);
		this.#request?.destroy();
	}

	#end(result: ExchangeResult, outcome: RelayOutcome): void {
		const settle = this.#settle;
		if (settle === undefined) {
			return;
		}

		this.#settle = undefined;
		this.#reading.end();
		this.#limit?.clear();
		this.#options.onEnd(outcome);
		settle(result);
	}
}
