/** Passes one request of another instance on to its upstream, and ends it in every state as the instance stops. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Fingerprint} from '@cairnbank/core';
import {BlockBuffer} from '@cairnbank/core/runtime';
import {err, type Result} from 'neverthrow';
import type {PoisonGuard} from '../calls/poison-guard.js';
import type {SuspectRequest} from '../calls/suspect-request.js';
import type {ExchangeFailure, RequestBody} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import type {RelayHead, RelayRefusal} from './relay-codec.js';

/** Longest time for which a request is passed on. */
const maximumTimeoutMs = 60_000;

/** What became of a request. */
export type RelayEnd =
	| {readonly type: 'exchanged'; readonly result: Result<UpstreamAnswer, ExchangeFailure>}
	/** Nothing of it was sent to its upstream. */
	| {readonly type: 'refused'; readonly reason: RelayRefusal}
	/** The other instance disconnected before its whole request had arrived. */
	| {readonly type: 'gone'};

export type RelayedRequestOptions = {
	readonly head: RelayHead;
	readonly upstream: Upstream;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Returns whether the stop of this instance can't cut the request if it is sent now. */
	readonly mayStart: () => boolean;
	/** Counts crashes of upstreams under requests that are passed on. */
	readonly poisonGuard: () => Pick<PoisonGuard, 'forgetAbandoned' | 'recordAbandoned'>;
	/** Called if a fault of the program keeps the exchange from being cancelled. */
	readonly onFault: (error: unknown) => void;
};

export class RelayedRequest {
	readonly #options: RelayedRequestOptions;
	readonly #expired: Promise<'expired'>;
	#resolveExpired!: (value: 'expired') => void;
	/** Set while the exchange runs; later the connection may carry another request. */
	#channel: UpstreamChannel | undefined;

	constructor(options: RelayedRequestOptions) {
		this.#options = options;
		this.#expired = new Promise(resolve => {
			this.#resolveExpired = resolve;
		});
	}

	/** Reads the body, and sends the request once. */
	async run(): Promise<RelayEnd> {
		const {request, upstream, mayStart} = this.#options;
		const body = await Promise.race([readAll(request), this.#expired]);
		if (body === undefined) {
			return {type: 'gone'};
		}

		if (body === 'expired' || !mayStart()) {
			return {type: 'refused', reason: 'leaving'};
		}

		return upstream.condition.isUnreachable
			? {type: 'exchanged', result: err({type: 'not-connected', message: 'unreachable here too', isTimeout: true})}
			: this.#exchange(body);
	}

	/** Cancels the exchange, as the other instance no longer waits for it. */
	cancel(): void {
		try {
			this.#channel?.cancel();
		} catch (error) {
			this.#options.onFault(error);
		}
	}

	/** Ends the request, as the instance stops. */
	expire(): void {
		this.#resolveExpired('expired');
		this.cancel();
	}

	async #exchange(body: RequestBody): Promise<RelayEnd> {
		const {response, upstream} = this.#options;
		const channel = upstream.pool.takeOwn();
		this.#channel = channel;
		try {
			const result = await this.#send(channel, body);
			this.#recordAbandoned(result, channel);
			const wasNeverSent = result.isErr() && result.error.type === 'cancelled' && !channel.isConnected;
			return wasNeverSent && !response.destroyed ? {type: 'refused', reason: 'leaving'} : {type: 'exchanged', result};
		} catch (error) {
			this.cancel();
			throw error;
		} finally {
			this.#channel = undefined;
			upstream.pool.release(channel);
		}
	}

	async #send(channel: UpstreamChannel, body: RequestBody): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		const {head, poisonGuard, upstream} = this.#options;
		const {upstream: _, fingerprint, ...outgoing} = head;
		const result = await Promise.race([this.#expired, channel.exchange({
			...outgoing,
			timeoutMs: Math.min(maximumTimeoutMs, head.timeoutMs),
			body: body.length === 0 ? undefined : body,
			onLateEnd(late) {
				if (late.isOk()) {
					poisonGuard().forgetAbandoned(head.requestId, upstream);
				}
			},
		})]);
		return result === 'expired' ? err({type: 'cancelled'}) : result;
	}

	/** Remembers a request that its upstream may still be running, as it may crash under it. */
	#recordAbandoned(result: Result<UpstreamAnswer, ExchangeFailure>, {isConnected}: UpstreamChannel): void {
		const {head, poisonGuard, upstream} = this.#options;
		const isAbandoned = result.isErr() && (result.error.type === 'cancelled' || result.error.type === 'timed-out');
		if (head.fingerprint !== undefined && isAbandoned && isConnected) {
			poisonGuard().recordAbandoned(suspectOfRelayed(head, head.fingerprint), upstream, {isAnswered: false});
		}
	}
}

function suspectOfRelayed({requestId, method, target}: RelayHead, fingerprint: Fingerprint): SuspectRequest {
	return {requestId, fingerprint: () => fingerprint, description: {method, target, isRelayed: true}};
}

/** @returns undefined if the connection ended before the whole body arrived */
async function readAll(request: IncomingMessage): Promise<RequestBody | undefined> {
	const blocks = new BlockBuffer(Number(request.headers['content-length']));
	try {
		for await (const chunk of request) {
			blocks.add(chunk as Uint8Array);
		}
	} catch {
		blocks.discard();
		return undefined;
	}

	return {length: blocks.bytes, parts: blocks.takeParts()};
}
