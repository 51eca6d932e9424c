/**
 * Passes on requests of other instances that have lost their links to upstreams. The other instance has chosen the upstream, and
 * counts attempts, retries and rates; this one makes a single exchange on a connection of its own and never passes it on again.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Fingerprint, UpstreamId} from '@cairnbank/core';
import {err, ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {PoisonGuard} from '../calls/poison-guard.js';
import type {SuspectRequest} from '../calls/suspect-request.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import {
	decodeHead, encodeResult, maximumRelayBodyBytes, noLink, relayHeadHeader, relayRefusalStatuses, type RelayHead, type RelayRefusal,
} from './relay-codec.js';

/** Requests of other instances that are passed on at a time; more would take the place of this instance's own callers. */
const maximumRequests = 64;
/** Largest size of the bodies of all requests that are passed on at a time. */
const maximumTotalBodyBytes = 16_777_216;
/** Longest time for which a request is passed on. */
const maximumTimeoutMs = 60_000;
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
	readonly #running = new Set<UpstreamChannel>();
	#reservedBodyBytes = 0;
	#requests = 0;
	#isDraining = false;
	#onIdle: (() => void) | undefined;
	#refusalLoggedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: RelayTaskOptions) {
		this.#options = options;
	}

	async start(): Promise<Result<void, StartError>> {
		return ok(undefined);
	}

	async drain(): Promise<void> {
		this.#isDraining = true;
		if (this.#requests > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	expire(): void {
		for (const channel of this.#running) {
			channel.cancel();
		}
	}

	stop(): void {
		this.expire();
	}

	/** Handles one request of another instance. */
	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const bodyBytes = Number(request.headers['content-length']);
		const head = this.#admit(request, bodyBytes);
		if (head.isErr()) {
			this.#refuse(request, response, head.error);
			return;
		}

		this.#requests += 1;
		this.#reservedBodyBytes += bodyBytes;
		try {
			await this.#passOn(request, response, head.value);
		} finally {
			this.#reservedBodyBytes -= bodyBytes;
			this.#requests -= 1;
			if (this.#requests === 0) {
				this.#onIdle?.();
			}
		}
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

		const hasRoom = this.#requests < maximumRequests && this.#reservedBodyBytes + bodyBytes <= maximumTotalBodyBytes && !answerMemory.isFull;
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

	async #passOn(request: IncomingMessage, response: ServerResponse, {head, upstream}: Admitted): Promise<void> {
		const {context: {metrics}, poisonGuard} = this.#options;
		const body = await readAll(request);
		if (body === undefined) {
			return;
		}

		if (upstream.condition.isUnreachable) {
			metrics.relayed.inc({side: 'received', result: 'not-connected'});
			writeResult(response, err({type: 'not-connected', message: 'unreachable here too', isTimeout: true}));
			return;
		}

		const channel = upstream.pool.takeOwn();
		this.#running.add(channel);
		let isRunning = true;
		response.on('close', () => {
			// Once the exchange has ended, its connection may carry another request.
			if (isRunning) {
				channel.cancel();
			}
		});
		const {upstream: _, fingerprint, ...outgoing} = head;
		const result = await channel.exchange({
			...outgoing,
			timeoutMs: Math.min(maximumTimeoutMs, head.timeoutMs),
			body: body.length === 0 ? undefined : body,
			onLateEnd(late) {
				if (late.isOk()) {
					poisonGuard().forgetAbandoned(head.requestId, upstream);
				}
			},
		});
		isRunning = false;
		this.#running.delete(channel);
		upstream.pool.release(channel);
		const isAbandoned = result.isErr() && (result.error.type === 'cancelled' || result.error.type === 'timed-out');
		if (fingerprint !== undefined && isAbandoned && channel.isConnected) {
			poisonGuard().recordAbandoned(suspectOfRelayed(head, fingerprint), upstream, {isAnswered: false});
		}

		metrics.relayed.inc({side: 'received', result: result.isOk() ? 'passed-on' : result.error.type});
		if (result.isOk()) {
			this.#holdUntilWritten(response, result.value.body.length);
		}

		writeResult(response, result.mapErr(failure => failure.type === 'cancelled' ? {type: 'broken', message: 'cancelled by the passing instance'} : failure));
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

function suspectOfRelayed({requestId, method, target}: RelayHead, fingerprint: Fingerprint): SuspectRequest {
	return {requestId, fingerprint: () => fingerprint, description: {method, target, isRelayed: true}};
}

/** @returns undefined if the connection ended before the whole body arrived */
async function readAll(request: IncomingMessage): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		return undefined;
	}

	return Buffer.concat(chunks);
}

function writeResult(response: ServerResponse, result: Result<UpstreamAnswer, ExchangeFailure>): void {
	const body = result.isOk() ? result.value.body : Buffer.alloc(0);
	response.writeHead(200, {[relayHeadHeader]: encodeResult(result), 'Content-Length': body.length}).end(body);
}
