/** One try of a call at one upstream: sends it, and notes what its end says of the upstream. */
import {loadOf} from '../upstreams/exchange.js';
import type {Placement} from '../upstreams/placer.js';
import type {UpstreamConnection} from '../upstreams/upstream-connection.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {judgeExchange, type Verdict} from './judge-exchange.js';

export type AttemptKind = 'first' | 'repeat' | 'hedge';

export class Attempt {
	readonly #dependencies: CallDependencies;
	readonly #call: Call;
	readonly #kind: AttemptKind;
	readonly #placement: Placement;
	readonly #connection: UpstreamConnection;
	#isOvertaken = false;

	constructor(dependencies: CallDependencies, call: Call, kind: AttemptKind, placement: Placement) {
		this.#dependencies = dependencies;
		this.#call = call;
		this.#kind = kind;
		this.#placement = placement;
		this.#connection = placement.upstream.pool.take();
	}

	/**
	 * Sends the request; resolves once its answer is whole or it has failed.
	 *
	 * @param remainingMs - until the call's deadline
	 */
	async run(remainingMs: number): Promise<Verdict> {
		const {
			dialect, clock, metrics, rateLimits, advisories,
		} = this.#dependencies;
		const {upstream} = this.#placement;
		const {condition, pool} = upstream;
		const sentAtMs = clock.monotonicMs();
		if (condition.advertisedRate.requestsPerSecond !== undefined) {
			metrics.rateLimitedRequests.inc({kind: this.#kind});
		}

		const own = condition.recordRequestSent(this.#placement.workMs, this.#placement.expectedMs);
		const result = await this.#connection.exchange({
			method: this.#call.method,
			target: this.#call.target,
			headers: this.#headers(remainingMs),
			body: this.#call.body,
			requestId: this.#call.requestId,
			timeoutMs: remainingMs,
		});
		pool.release(this.#connection);
		const verdict = judgeExchange(result, dialect);
		condition.recordRequestEnd(own, verdict.type === 'success');
		if (this.#isOvertaken) {
			condition.recordSuperseded();
		}

		metrics.attempts.inc({kind: this.#kind, result: verdict.type});
		if (result.isOk() && !isFromAnother(verdict)) {
			advisories.received(upstream, result.value, 'answer');
			rateLimits.answered(upstream, {answer: result.value, sentAtMs, isSuccess: verdict.type === 'success'});
			const report = loadOf(result.value, dialect);
			if (report !== undefined) {
				condition.recordLoadReport(report);
			}
		}

		this.#note(verdict, clock.monotonicMs() - sentAtMs);
		return verdict;
	}

	get kind(): AttemptKind {
		return this.#kind;
	}

	/** Nothing is sent before the connection is open, so that what was given up until then never arrives. */
	get mayHaveReachedUpstream(): boolean {
		return this.#connection.isConnected;
	}

	/** Gives the request up; most upstreams then stop working on it. */
	cancel(): void {
		this.#connection.cancel();
	}

	/** One sent elsewhere later was answered first; this one is given up next. */
	overtaken(): void {
		this.#isOvertaken = true;
	}

	/** What decided the choice, and how old it was. */
	describe(): string {
		const {upstream: {registered, condition}, expectedMs, slowness} = this.#placement;
		const {report} = condition;
		const load = report === undefined ? 'load=unknown' : `running=${report.running}:waiting=${report.waiting}:age=${Math.round(condition.reportAgeMs)}ms`;
		const {requestsPerSecond} = condition.advertisedRate;
		const limit = requestsPerSecond === undefined ? '' : `:limit=${requestsPerSecond}/s`;
		const {type: availability} = condition.advisories.availability;
		const advised = availability === 'available' ? '' : `:${availability}`;
		return `${this.#kind}:${registered.id}:expected=${Math.round(expectedMs)}ms:slowness=${slowness ?? 'unknown'}:${load}${limit}${advised}`;
	}

	#headers(remainingMs: number): readonly string[] {
		const {dialect} = this.#dependencies;
		const {headers, body} = this.#call;
		return [
			...headers,
			dialect.deadlineHeader,
			String(remainingMs),
			dialect.expectedUpstreamHeader,
			this.#placement.upstream.registered.id,
			...(body === undefined ? [] : ['Content-Length', String(body.length)]),
		];
	}

	#note(verdict: Verdict, tookMs: number): void {
		const {upstream, durationRatio} = this.#placement;
		const {condition} = upstream;
		switch (verdict.type) {
			case 'success': {
				condition.recordSuccess();
				this.#dependencies.work.learn(this.#call.route.id, tookMs, durationRatio);
				break;
			}

			case 'not-run': {
				if (verdict.reason === 'refused-by-upstreams') {
					condition.recordRefusal(upstream.registered.slots);
				} else {
					// Nobody is there, or another one: nothing is sent until a health check finds it.
					condition.recordUnreachable();
				}

				break;
			}

			case 'upstream-failure': {
				condition.recordFailure();
				break;
			}

			case 'unknown': {
				condition.recordFailure();
				if (verdict.reason === 'broken') {
					this.#dependencies.onBroken(this.#call, upstream);
				}

				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}
}

/** At its address is another upstream, whose load says nothing of this one. */
function isFromAnother(verdict: Verdict): boolean {
	return verdict.type === 'not-run' && verdict.reason === 'wrong-upstream';
}
