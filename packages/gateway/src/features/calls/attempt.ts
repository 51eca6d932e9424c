/** Sends a call to one upstream and updates the condition of the upstream from the result. */
import type {UpstreamId} from '@cairnbank/core';
import {ok, type Result} from 'neverthrow';
import {loadOf, type ExchangeFailure} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {Placement} from '../upstreams/placement.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {classifyExchange, type ExchangeVerdict} from './judge-exchange.js';
import {fingerprintOfCall} from './suspect-request.js';

export type AttemptKind = 'first' | 'repeat' | 'hedge';

export class Attempt {
	readonly #dependencies: CallDependencies;
	readonly #call: Call;
	readonly #kind: AttemptKind;
	readonly #placement: Placement;
	readonly #channel: UpstreamChannel;
	#isSuperseded = false;
	/** True once another attempt has answered the call. */
	#isAnswered = false;

	constructor(dependencies: CallDependencies, call: Call, kind: AttemptKind, placement: Placement) {
		this.#dependencies = dependencies;
		this.#call = call;
		this.#kind = kind;
		this.#placement = placement;
		this.#channel = placement.upstream.pool.take();
	}

	/**
	 * Sends the request; resolves once the answer is complete or the attempt has failed.
	 *
	 * @param remainingMs - time until the call's deadline
	 */
	async run(remainingMs: number): Promise<ExchangeVerdict> {
		const {dialect, clock, metrics} = this.#dependencies;
		const {upstream} = this.#placement;
		const {condition} = upstream;
		const sentAtMs = clock.monotonicMs();
		if (condition.advertisedRate.requestsPerSecond !== undefined) {
			metrics.rateLimitedRequests.inc({kind: this.#kind});
		}

		const sentRequest = condition.recordRequestSent(this.#placement.workMs, this.#placement.expectedMs);
		const result = await this.#exchange(remainingMs, sentAtMs, () => {
			condition.recordRequestEnd(sentRequest, false);
		});
		const verdict = classifyExchange(result, dialect);
		condition.recordRequestEnd(sentRequest, verdict.type === 'success');
		if (this.#isSuperseded) {
			condition.recordSuperseded();
		}

		metrics.attempts.inc({kind: this.#kind, result: verdict.type});
		if (result.isOk()) {
			this.#learn(result.value, sentAtMs);
		}

		this.#recordVerdict(verdict, sentAtMs);
		return verdict;
	}

	get upstream(): UpstreamId {
		return this.#placement.upstream.registered.id;
	}

	/** Bytes read on its channel. */
	get readBytes(): number {
		return this.#channel.readBytes;
	}

	get kind(): AttemptKind {
		return this.#kind;
	}

	/** True if the request may have left this instance; an attempt that is cancelled earlier never reaches the upstream. */
	get mayHaveReachedUpstream(): boolean {
		return this.#channel.isConnected;
	}

	/**
	 * Cancels the request; most upstreams then stop processing it.
	 *
	 * @param isAnswered - whether another attempt has answered the call
	 */
	cancel(isAnswered: boolean): void {
		this.#isAnswered = isAnswered;
		this.#channel.cancel();
	}

	/** Records that a later attempt at another upstream was answered first; this attempt is cancelled next. */
	markSuperseded(): void {
		this.#isSuperseded = true;
	}

	/** Formats for the log the data by which the upstream was chosen, and the age of that data. */
	describe(): string {
		const {upstream: {registered, condition}, expectedMs, slowness} = this.#placement;
		const {report} = condition;
		const loadText = report === undefined ? 'load=unknown' : `running=${report.running}:waiting=${report.waiting}:age=${Math.round(condition.reportAgeMs)}ms`;
		const {requestsPerSecond} = condition.advertisedRate;
		const limitText = requestsPerSecond === undefined ? '' : `:limit=${requestsPerSecond}/s`;
		const {type: availability} = condition.advisories.availability;
		const advisoryText = availability === 'available' ? '' : `:${availability}`;
		const relayText = this.#channel.relay === undefined ? '' : `:via=${this.#channel.relay}`;
		return `${this.#kind}:${registered.id}${relayText}:expected=${Math.round(expectedMs)}ms:slowness=${slowness ?? 'unknown'}:${loadText}${limitText}${advisoryText}`;
	}

	/** @param onFault - called if the exchange fails by a fault of the program, so that nothing counts it as running any more */
	async #exchange(remainingMs: number, sentAtMs: number, onFault: () => void): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		try {
			return await this.#channel.exchange({
				method: this.#call.method,
				target: this.#call.target,
				headers: this.#headers(remainingMs),
				body: this.#call.body,
				requestId: this.#call.requestId,
				fingerprint: () => fingerprintOfCall(this.#call),
				timeoutMs: remainingMs,
				onLateEnd: result => {
					this.#handleLateEnd(result, sentAtMs);
				},
			});
		} catch (error) {
			this.#channel.cancel();
			onFault();
			throw error;
		} finally {
			this.#placement.upstream.pool.release(this.#channel);
		}
	}

	#headers(remainingMs: number): readonly string[] {
		const {dialect} = this.#dependencies;
		const {headers, body} = this.#call;
		return [
			...headers,
			dialect.deadlineHeader,
			String(Math.max(1, remainingMs - (this.#channel.hopMs ?? 0))),
			dialect.expectedUpstreamHeader,
			this.#placement.upstream.registered.id,
			...(body === undefined ? [] : ['Content-Length', String(body.length)]),
		];
	}

	#recordAnswer({status}: UpstreamAnswer, sentAtMs: number): void {
		this.#dependencies.poisonGuard.recordAnswer(this.#call, this.#placement.upstream, {status, sentAtMs});
	}

	/** Takes in what an answer says of its upstream, also if the call no longer waits for it. */
	#learn(answer: UpstreamAnswer, sentAtMs: number): void {
		const {dialect, rateLimits, advisories} = this.#dependencies;
		const {upstream} = this.#placement;
		const verdict = classifyExchange(ok(answer), dialect);
		if (isFromOtherUpstream(verdict)) {
			return;
		}

		advisories.received(upstream, answer, 'answer');
		rateLimits.answered(upstream, {answer, sentAtMs, isSuccess: verdict.type === 'success'});
		const report = loadOf(answer, dialect);
		if (report !== undefined) {
			upstream.condition.recordLoadReport(report);
			this.#dependencies.fullResets.recordLoad(upstream.registered.service, report);
		}
	}

	/** Handles the end of an attempt that was cancelled or timed out before. */
	#handleLateEnd(result: Result<UpstreamAnswer, ExchangeFailure>, sentAtMs: number): void {
		this.#dependencies.metrics.lateEnds.inc({result: result.isOk() ? 'answered' : result.error.type});
		if (result.isOk()) {
			this.#learn(result.value, sentAtMs);
			this.#dependencies.onAbandonedAnswered(this.#call, this.#placement.upstream);
		}
	}

	/** An instance that passes a request on watches the upstream itself. */
	#recordAbandoned(): void {
		if (this.#channel.relay === undefined && this.#channel.isConnected) {
			this.#dependencies.onAbandoned(this.#call, this.#placement.upstream, {isAnswered: this.#isAnswered});
		}
	}

	/** A failure on the way through another instance says nothing of the upstream. */
	#recordUnknown(): void {
		if (this.#channel.relay === undefined) {
			this.#placement.upstream.condition.recordFailure();
		}
	}

	/**
	 * Handles a broken connection. It shows that an upstream was full only if it went there directly, the upstream reports its load at all
	 * and has not crashed.
	 */
	async #recordBroken(): Promise<void> {
		const {fullResets, onConnectionBroken, onLateFault} = this.#dependencies;
		const {upstream: {registered: {service}}, room} = this.#placement;
		const mayHaveBeenFull = room.report !== undefined && this.#channel.relay === undefined && !fullResets.hasKnownRoom(service, room);
		try {
			const hasCrashed = await onConnectionBroken(this.#call, this.#placement.upstream);
			if (mayHaveBeenFull && !hasCrashed) {
				fullResets.recordReset(service);
			}
		} catch (error) {
			onLateFault(error);
		}
	}

	#recordVerdict(verdict: ExchangeVerdict, sentAtMs: number): void {
		const {upstream, durationRatio} = this.#placement;
		const tookMs = this.#dependencies.clock.monotonicMs() - sentAtMs;
		const {condition} = upstream;
		switch (verdict.type) {
			case 'success': {
				condition.recordSuccess();
				this.#recordAnswer(verdict.answer, sentAtMs);
				this.#dependencies.workEstimates.update(this.#call.route.id, tookMs, durationRatio);
				break;
			}

			case 'not-run': {
				if (verdict.reason === 'refused-by-upstreams') {
					condition.recordRefusal(upstream.registered.slots);
				} else if (verdict.reason !== 'no-relay') {
					// Nothing listens at its address, or another upstream does, so it gets no request until a health check reaches it.
					condition.recordUnreachable();
				}

				break;
			}

			case 'upstream-failure': {
				condition.recordFailure();
				this.#recordAnswer(verdict.answer, sentAtMs);
				break;
			}

			case 'unknown': {
				this.#recordUnknown();
				if (verdict.reason === 'timed-out') {
					this.#recordAbandoned();
				}

				if (verdict.reason === 'broken') {
					void this.#recordBroken();
				}

				break;
			}

			case 'cancelled': {
				this.#recordAbandoned();
				break;
			}
		}
	}
}

/** Returns whether another upstream answered at this address; its load report does not apply to the intended upstream. */
function isFromOtherUpstream(verdict: ExchangeVerdict): boolean {
	return verdict.type === 'not-run' && verdict.reason === 'wrong-upstream';
}
