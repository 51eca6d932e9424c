/** Probes upstreams for their load with health checks. */
import type {UpstreamId} from '@cairnbank/core';
import type {LoadReport} from '@cairnbank/core/placement';
import {ProbeRateLimiter} from '@cairnbank/core/measurement';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {headerOf, loadOf, type ExchangeFailure} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import type {Advisories} from './advisories.js';
import type {Eligibility} from './eligibility.js';
import type {LinkMonitor} from './link-monitor.js';
import type {RateLimits} from './rate-limits.js';
import type {UpstreamChannel} from './upstream-channel.js';
import type {Upstream} from './upstream.js';

/** An upstream that has not answered a health check after this time is considered unreachable for a while. */
const probeTimeoutMs = 200;
/** Other upstreams to which connections are made to distinguish a lost link from an upstream that has ended; several may end at once. */
const comparedUpstreams = 6;
const okStatus = 200;

export type ProberOptions = {
	readonly context: Context;
	readonly dialect: RequestDialect;
	readonly advisories: Pick<Advisories, 'received'>;
	readonly eligibility: Pick<Eligibility, 'mayCheck'>;
	readonly rateLimits: Pick<RateLimits, 'checked'>;
	readonly links: Pick<LinkMonitor, 'recordFailure' | 'shouldTryRelay' | 'hasRelay' | 'isLost'>;
	/** Samples up to `count` other upstreams, to distinguish a lost link from an upstream that has ended. */
	readonly sampleOthers: (upstream: Upstream, count: number) => readonly Upstream[];
	/** Returns the path of a service's health check; undefined for an unknown service. */
	readonly healthPath: (service: string) => string | undefined;
	/** Returns whether anything may be sent to an upstream, including health checks. */
	readonly isInService: (upstream: Upstream) => boolean;
	readonly instances: () => number;
	readonly upstreams: () => number;
};

export class Prober {
	readonly #options: ProberOptions;
	readonly #allowance: ProbeRateLimiter;
	/** Running health checks by upstream; concurrent callers share the result. */
	readonly #inFlight = new Map<UpstreamId, Promise<LoadReport | undefined>>();

	constructor(options: ProberOptions) {
		this.#options = options;
		this.#allowance = new ProbeRateLimiter(options.context.clock.monotonicMs());
	}

	/**
	 * Sends one health check, if the probe allowance permits, and records its result.
	 *
	 * @returns the load report, or undefined if there is none
	 */
	async probe(upstream: Upstream): Promise<LoadReport | undefined> {
		const {id, service} = upstream.registered;
		const inFlight = this.#inFlight.get(id);
		if (inFlight !== undefined) {
			return inFlight;
		}

		const path = this.#options.healthPath(service);
		if (path === undefined) {
			// Without a health check, nothing would ever show that the upstream is reachable again.
			upstream.condition.recordReachable();
			return undefined;
		}

		const {isInService, eligibility} = this.#options;
		if (!isInService(upstream) || !eligibility.mayCheck(upstream) || !this.#tryTakeAllowance()) {
			return undefined;
		}

		const probe = this.#check(upstream);
		this.#inFlight.set(id, probe);
		try {
			return await probe;
		} finally {
			this.#inFlight.delete(id);
		}
	}

	/**
	 * Finds out whether an upstream that broke a connection is gone: its address refuses new ones, or another upstream answers there.
	 * Doesn't count against the probe allowance, as it runs only once per crash. Opens a new connection, as a crash also resets the
	 * pooled ones, perhaps unnoticed so far.
	 */
	async hasEnded(upstream: Upstream): Promise<boolean> {
		if (!this.#options.isInService(upstream)) {
			return false;
		}

		const channel = upstream.pool.path.isRelayed ? upstream.pool.openRelayed() : upstream.pool.open();
		const result = await this.#sendCheck(upstream, channel);
		const seemsEnded = result.match(
			answer => this.#isFromOther(upstream, answer),
			failure => failure.type === 'not-connected' && !failure.isTimeout,
		);
		return seemsEnded && (channel.relay !== undefined || result.isOk() || this.#reachesOthers(upstream));
	}

	/** Checks the own link to an upstream that is reached through another instance, with a new connection. */
	async checkOwnLink(upstream: Upstream): Promise<void> {
		if (!this.#options.isInService(upstream) || !this.#options.eligibility.mayCheck(upstream) || !this.#tryTakeAllowance()) {
			return;
		}

		const result = await this.#sendCheck(upstream, upstream.pool.open());
		if (result.isErr()) {
			upstream.pool.path.recordOwnLinkFailure();
		}
	}

	/**
	 * Finds out whether this instance can connect to any other upstream. If it can't, its links are lost, and a refused connection doesn't show
	 * that an upstream has ended.
	 */
	async #reachesOthers(upstream: Upstream): Promise<boolean> {
		const others = this.#options.sampleOthers(upstream, comparedUpstreams);
		const results = await Promise.all(others.map(async other => this.#sendCheck(other, other.pool.open())));
		return others.length === 0 || results.some(result => result.isOk());
	}

	#tryTakeAllowance(): boolean {
		const {context, instances, upstreams} = this.#options;
		return this.#allowance.tryTake(context.clock.monotonicMs(), {
			probesPerSecond: context.settings.bounds.probesPerSecond, upstreams: upstreams(), instances: instances(),
		});
	}

	async #check(upstream: Upstream): Promise<LoadReport | undefined> {
		const {logger, metrics} = this.#options.context;
		const {condition, registered} = upstream;
		condition.recordHealthCheckSent();
		const channel = this.#options.links.shouldTryRelay(upstream) ? upstream.pool.openRelayed() : upstream.pool.takeForCheck();
		const result = await this.#sendCheck(upstream, channel);
		if (result.isErr()) {
			metrics.probes.inc({result: result.error.type});
			this.#recordFailure(upstream, channel, result.error);
			logger.debug('probe failed', {upstream: registered.id, ...result.error});
			return undefined;
		}

		if (channel.relay !== undefined) {
			upstream.pool.useRelay(channel.relay);
		}

		this.#recordAnswer(upstream, result.value);
		return condition.report;
	}

	async #sendCheck(upstream: Upstream, channel: UpstreamChannel): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		const {host, port, service} = upstream.registered;
		const result = await channel.exchange({
			method: 'GET',
			target: this.#options.healthPath(service) ?? '/',
			headers: ['Host', `${host}:${port}`],
			body: undefined,
			requestId: undefined,
			timeoutMs: probeTimeoutMs,
		});
		upstream.pool.release(channel);
		return result;
	}

	#isFromOther({registered}: Upstream, {headers}: UpstreamAnswer): boolean {
		const answeredBy = headerOf(headers, this.#options.dialect.upstreamIdHeader);
		return answeredBy !== undefined && answeredBy !== registered.id;
	}

	#recordFailure(upstream: Upstream, channel: UpstreamChannel, failure: ExchangeFailure): void {
		if (failure.type !== 'no-relay' && channel.relay === undefined) {
			this.#recordOwnFailure(upstream, failure);
			return;
		}

		const {condition, pool: {path}, registered: {service}} = upstream;
		if (failure.type === 'not-connected' || !this.#options.links.hasRelay(service)) {
			path.recordRelayFailure();
			condition.recordUnreachable();
		} else {
			// The other instance failed, which says nothing of the upstream; the next check goes through a third one.
			condition.recordHealthCheckAborted();
		}
	}

	#recordOwnFailure({condition, registered, pool}: Upstream, failure: Exclude<ExchangeFailure, {readonly type: 'no-relay'}>): void {
		switch (failure.type) {
			case 'timed-out': {
				pool.path.recordOwnLinkFailure();
				this.#options.links.recordFailure(registered, true);
				condition.recordUnreachable();
				break;
			}

			case 'not-connected':
			case 'cancelled': {
				condition.recordUnreachable();
				break;
			}

			case 'broken':
			case 'malformed':
			case 'answer-outgrown': {
				condition.recordHealthCheckAborted();
			}
		}
	}

	#recordAnswer(upstream: Upstream, answer: UpstreamAnswer): void {
		const {condition, registered} = upstream;
		const {
			context: {metrics}, dialect, advisories, rateLimits,
		} = this.#options;
		if (this.#isFromOther(upstream, answer)) {
			metrics.probes.inc({result: 'other-upstream'});
			condition.recordUnreachable();
			return;
		}

		metrics.probes.inc({result: answer.status === okStatus ? 'ok' : 'unwell'});
		advisories.received(upstream, answer, 'health-check');
		rateLimits.checked(upstream, answer);
		const warmupMs = headerOf(answer.headers, dialect.warmupHeader);
		if (warmupMs !== undefined || answer.status === okStatus) {
			// A warm upstream need not send the warm-up header.
			condition.warmup.recordReport(Number(warmupMs ?? 0) || 0);
		}

		const report = loadOf(answer, dialect);
		if (report !== undefined) {
			condition.recordLoadReport(report);
		} else if (headerOf(answer.headers, dialect.notExecutedHeader) === undefined) {
			condition.recordHealthCheckPassed(registered.slots);
		} else {
			condition.recordRefusal(registered.slots);
		}
	}
}
