/**
 * Passes on requests of other instances that have lost their links to upstreams. The other instance has chosen the upstream, and
 * counts attempts, retries and rates; this one makes a single exchange on a connection of its own and never passes it on again.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {UpstreamId} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {recordUnexpectedFault} from '../../kernel/unexpected-fault.js';
import type {PoisonGuard} from '../calls/poison-guard.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {Upstream} from '../upstreams/upstream.js';
import {
	decodeHead, encodeResult, maximumRelayBodyBytes, noLink, relayHeadHeader, relayRefusalStatuses, type RelayHead, type RelayRefusal,
} from './relay-codec.js';
import {RelayedRequest, type RelayEnd} from './relayed-request.js';

/** Requests of other instances that are passed on at a time; more would take the place of this instance's own callers. */
const maximumRequests = 64;
/** Largest size of the bodies of all requests that are passed on at a time. */
const maximumTotalBodyBytes = 16_777_216;
const refusalLogIntervalMs = 1000;

/** A request that is passed on, and the upstream that gets it. */
type Admitted = {readonly head: RelayHead; readonly upstream: Upstream};

export type RelayTaskOptions = {
	readonly context: Pick<Context, 'answerMemory' | 'clock' | 'logger' | 'metrics' | 'stop'>;
	/** Returns whether a host is a live member of the fleet. */
	readonly isMember: (host: string) => boolean;
	/** Returns an upstream that takes new requests; undefined if it is not registered, leaves, or its zone is evacuated. */
	readonly upstreamOf: (id: UpstreamId) => Upstream | undefined;
	/** Counts crashes of upstreams under requests that are passed on. */
	readonly poisonGuard: () => Pick<PoisonGuard, 'forgetAbandoned' | 'recordAbandoned'>;
	/** Returns whether this instance has lost its own links to the upstream. */
	readonly hasLostLink: (upstream: Upstream) => boolean;
};

export class RelayTask implements Task {
	readonly name = 'relay';
	readonly #options: RelayTaskOptions;
	/** Requests whose result is not written yet; the stop ends each of them. */
	readonly #requests = new Set<RelayedRequest>();
	#reservedBodyBytes = 0;
	#isDraining = false;
	#onIdle: (() => void) | undefined;
	#refusalLoggedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: RelayTaskOptions) {
		this.#options = options;
	}

	/** Number of requests whose result is not written yet. */
	get inFlight(): number {
		return this.#requests.size;
	}

	async start(): Promise<Result<void, StartError>> {
		return ok(undefined);
	}

	async drain(): Promise<void> {
		this.#isDraining = true;
		if (this.#requests.size > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	isBusy(): boolean {
		return this.inFlight > 0;
	}

	expire(): void {
		for (const request of this.#requests) {
			request.expire();
		}
	}

	stop(): void {
		this.expire();
	}

	/** Handles one request of another instance. */
	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const bodyBytes = Number(request.headers['content-length']);
		const admitted = this.#admit(request, bodyBytes);
		if (admitted.isErr()) {
			this.#refuse(request, response, admitted.error);
			return;
		}

		const relayed = this.#createRequest(request, response, admitted.value);
		this.#requests.add(relayed);
		response.on('close', () => {
			relayed.cancel();
		});
		try {
			const end = await this.#run(relayed, bodyBytes);
			this.#write(request, response, end);
			await untilClosed(response);
		} finally {
			this.#requests.delete(relayed);
			if (this.#requests.size === 0) {
				this.#onIdle?.();
			}
		}
	}

	async #run(relayed: RelayedRequest, bodyBytes: number): Promise<RelayEnd> {
		this.#reservedBodyBytes += bodyBytes;
		try {
			return await relayed.run();
		} finally {
			this.#reservedBodyBytes -= bodyBytes;
		}
	}

	#createRequest(request: IncomingMessage, response: ServerResponse, admitted: Admitted): RelayedRequest {
		const {context, poisonGuard} = this.#options;
		const {clock, stop} = context;
		return new RelayedRequest({
			...admitted, request, response, poisonGuard,
			mayStart: () => stop.allows(clock.monotonicMs() + admitted.head.timeoutMs),
			onFault(error) {
				recordUnexpectedFault(context, 'peer', error, {id: admitted.head.requestId});
			},
		});
	}

	#admit({headers, socket}: IncomingMessage, bodyBytes: number): Result<Admitted, RelayRefusal> {
		const {context: {answerMemory, clock, stop}, hasLostLink, isMember, upstreamOf} = this.#options;
		if (!isMember(socket.remoteAddress ?? '')) {
			return err('unknown-instance');
		}

		const head = decodeHead(String(headers[relayHeadHeader] ?? ''));
		if (head.isErr() || !Number.isInteger(bodyBytes)) {
			return err('unreadable');
		}

		if (bodyBytes > maximumRelayBodyBytes) {
			return err('too-large');
		}

		const hasRoom = this.#requests.size < maximumRequests && this.#reservedBodyBytes + bodyBytes <= maximumTotalBodyBytes && !answerMemory.isFull;
		if (this.#isDraining || !hasRoom) {
			return err('busy');
		}

		if (!stop.allows(clock.monotonicMs() + head.value.timeoutMs)) {
			return err('leaving');
		}

		const upstream = upstreamOf(head.value.upstream);
		if (upstream === undefined) {
			return err('unknown-upstream');
		}

		if (hasLostLink(upstream)) {
			return err(noLink);
		}

		return ok<Admitted, RelayRefusal>({head: head.value, upstream});
	}

	#write(request: IncomingMessage, response: ServerResponse, end: RelayEnd): void {
		switch (end.type) {
			case 'exchanged': {
				const {result} = end;
				this.#options.context.metrics.relayed.inc({side: 'received', result: result.isOk() ? 'passed-on' : result.error.type});
				if (result.isOk()) {
					this.#holdUntilWritten(response, result.value.body.length);
				}

				writeResult(response, result.mapErr(failure => failure.type === 'cancelled' ? {type: 'broken', message: 'cancelled by the passing instance'} : failure));
				break;
			}

			case 'refused': {
				this.#refuse(request, response, end.reason);
				break;
			}

			case 'gone': {
				break;
			}
		}
	}

	#holdUntilWritten(response: ServerResponse, bytes: number): void {
		const {answerMemory} = this.#options.context;
		if (!response.destroyed) {
			answerMemory.hold(bytes);
			response.on('close', () => {
				answerMemory.release(bytes);
			});
		}
	}

	#refuse(request: IncomingMessage, response: ServerResponse, refusal: RelayRefusal): void {
		const {clock, logger, metrics} = this.#options.context;
		metrics.relayed.inc({side: 'received', result: refusal});
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#refusalLoggedAtMs >= refusalLogIntervalMs) {
			this.#refusalLoggedAtMs = nowMs;
			logger.warn('request of an instance refused', {reason: refusal, from: request.socket.remoteAddress});
		}

		response.shouldKeepAlive = false;
		response.writeHead(relayRefusalStatuses[refusal]).end(refusal);
		request.resume();
	}
}

function writeResult(response: ServerResponse, result: Result<UpstreamAnswer, ExchangeFailure>): void {
	const body = result.isOk() ? result.value.body : Buffer.alloc(0);
	response.writeHead(200, {[relayHeadHeader]: encodeResult(result), 'Content-Length': body.length}).end(body);
}

/** Resolves once the response has left the process, or the other instance has disconnected. */
async function untilClosed(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		response.on('close', resolve);
	});
}
