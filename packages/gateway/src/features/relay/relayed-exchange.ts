/** Sends one request to an upstream through another instance. */
import {Buffer} from 'node:buffer';
import {
	type Agent, type ClientRequest, type IncomingMessage, request as httpRequest,
} from 'node:http';
import type {UpstreamId} from '@cairnbank/core';
import type {RelayPeer} from '@cairnbank/core/reachability';
import {err, type Result} from 'neverthrow';
import type {ExchangeFailure, OutgoingRequest, UpstreamAnswer} from '../upstreams/exchange.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import {
	decodeResult, encodeHead, maximumRelayHeaderBytes, relayHeadHeader, relayPath,
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
	readonly onStart: () => void;
	/** @param hasFailed - whether the other instance did not pass on the request, or was lost under it */
	readonly onEnd: (hasFailed: boolean) => void;
};

export class RelayedExchange implements UpstreamChannel {
	readonly isReusable = false;
	readonly hopMs = relayHopMs;
	readonly #options: RelayedExchangeOptions;
	#request: ClientRequest | undefined;
	#isConnected = false;
	#timer: NodeJS.Timeout | undefined;
	#settle: ((result: ExchangeResult) => void) | undefined;

	constructor(options: RelayedExchangeOptions) {
		this.#options = options;
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

		this.#options.onStart();
		return new Promise(resolve => {
			this.#settle = resolve;
			this.#setTimer(Math.min(connectTimeoutMs, request.timeoutMs), {type: 'no-relay', message: 'connect timeout'});
			this.#send(peer, request);
		});
	}

	cancel(): void {
		this.#abort({type: 'cancelled'}, false);
	}

	close(): void {
		if (this.#settle !== undefined) {
			this.cancel();
		}
	}

	#send(peer: RelayPeer, {body, timeoutMs, ...head}: OutgoingRequest): void {
		const {agent, port, localAddress, upstream} = this.#options;
		const request = httpRequest({
			agent, host: peer.host, port, localAddress, method: 'POST', path: relayPath, maxHeaderSize: maximumRelayHeaderBytes,
			headers: {
				[relayHeadHeader]: encodeHead({...head, upstream, timeoutMs: Math.max(1, timeoutMs - relayHopMs)}),
				'Content-Length': body?.length ?? 0,
			},
		});
		this.#request = request;
		request.on('socket', socket => {
			const connected = () => {
				this.#isConnected = true;
				this.#setTimer(timeoutMs, {type: 'timed-out'});
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
		request.end(body);
	}

	#receive(response: IncomingMessage): void {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('error', error => {
			this.#fail(error.message);
		});
		response.on('end', () => {
			if (response.statusCode === okStatus) {
				this.#decode(response, Buffer.concat(chunks));
			} else {
				this.#end(err({type: 'no-relay', message: `refused with ${response.statusCode}: ${Buffer.concat(chunks).toString()}`}), true);
			}
		});
	}

	#decode({headers}: IncomingMessage, body: Uint8Array): void {
		const decoded = decodeResult(String(headers[relayHeadHeader] ?? ''));
		if (decoded.isErr()) {
			this.#end(err({type: 'malformed', message: decoded.error}), true);
			return;
		}

		this.#end(decoded.value.map(answer => ({...answer, body})), false);
	}

	/** Handles the loss of the other instance: once connected, it may have passed the request on. */
	#fail(message: string): void {
		this.#abort(this.#isConnected ? {type: 'broken', message} : {type: 'no-relay', message}, true);
	}

	#setTimer(durationMs: number, failure: ExchangeFailure): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#abort(failure, true);
		}, durationMs);
	}

	/** Closes the connection, so that the other instance cancels the request. */
	#abort(failure: ExchangeFailure, hasFailed: boolean): void {
		this.#end(err(failure), hasFailed);
		this.#request?.destroy();
	}

	#end(result: ExchangeResult, hasFailed: boolean): void {
		const settle = this.#settle;
		if (settle === undefined) {
			return;
		}

		this.#settle = undefined;
		clearTimeout(this.#timer);
		this.#options.onEnd(hasFailed);
		settle(result);
	}
}
