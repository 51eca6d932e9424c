/** Probes upstreams for their load with health checks. */
import type {UpstreamId} from '@cairnbank/core';
import type {LoadReport} from '@cairnbank/core/placement';
import {ProbeRateLimiter} from '@cairnbank/core/measurement';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {
	headerOf, loadOf, type ExchangeFailure, type UpstreamAnswer,
} from './exchange.js';
import type {Advisories} from './advisories.js';
import type {Eligibility} from './eligibility.js';
import type {LinkMonitor} from './link-monitor.js';
import type {RateLimits} from './rate-limits.js';
import type {UpstreamConnection} from './upstream-connection.js';
import type {Upstream} from './upstream.js';

/** An upstream that has not answered a health check after this time is considered unreachable for a while. */
const probeTimeoutMs = 200;
const okStatus = 200;

export type ProberOptions = {
	readonly context: Context;
	readonly dialect: RequestDialect;
	readonly advisories: Pick<Advisories, 'received'>;
	readonly eligibility: Pick<Eligibility, 'mayCheck'>;
	readonly rateLimits: Pick<RateLimits, 'checked'>;
	readonly links: Pick<LinkMonitor, 'recordFailure'>;
	/** Returns the path of a service's health check; undefined for an unknown service. */
	readonly healthPath: (service: string) => string | undefined;
	/** Whether anything may be sent to an upstream, including health checks. */
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

		const probe = this.#check(upstream, path);
		this.#inFlight.set(id, probe);
		try {
			return await probe;
		} finally {
			this.#inFlight.delete(id);
		}
	}

	/**
	 * Whether an upstream that broke a connection is gone: its address refuses new ones, or another upstream answers there. Doesn't count against the probe allowance, as it runs only
	 * once per crash. Opens a new connection, as a crash also resets the pooled ones, perhaps unnoticed so far.
	 */
	async hasEnded(upstream: Upstream): Promise<boolean> {
		if (!this.#options.isInService(upstream)) {
			return false;
		}

		const path = this.#options.healthPath(upstream.registered.service) ?? '/';
		const result = await this.#sendCheck(upstream, path, upstream.pool.open());
		return result.match(
			answer => this.#isFromOther(upstream, answer),
			failure => failure.type === 'not-connected' && !failure.isTimeout,
		);
	}

	#tryTakeAllowance(): boolean {
		const {context, instances, upstreams} = this.#options;
		return this.#allowance.tryTake(context.clock.monotonicMs(), {
			probesPerSecond: context.settings.bounds.probesPerSecond, upstreams: upstreams(), instances: instances(),
		});
	}

	async #check(upstream: Upstream, path: string): Promise<LoadReport | undefined> {
		const {logger, metrics} = this.#options.context;
		const {condition, registered} = upstream;
		condition.recordHealthCheckSent();
		const result = await this.#sendCheck(upstream, path, upstream.pool.take());
		if (result.isErr()) {
			metrics.probes.inc({result: result.error.type});
			this.#recordFailure(upstream, result.error);
			logger.debug('probe failed', {upstream: registered.id, ...result.error});
			return undefined;
		}

		this.#recordAnswer(upstream, result.value);
		return condition.report;
	}

	async #sendCheck(upstream: Upstream, path: string, connection: UpstreamConnection): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		const {host, port} = upstream.registered;
		const result = await connection.exchange({
			method: 'GET',
			target: path,
			headers: ['Host', `${host}:${port}`],
			body: undefined,
			requestId: undefined,
			timeoutMs: probeTimeoutMs,
		});
		upstream.pool.release(connection);
		return result;
	}

	#isFromOther({registered}: Upstream, {headers}: UpstreamAnswer): boolean {
		const answeredBy = headerOf(headers, this.#options.dialect.upstreamIdHeader);
		return answeredBy !== undefined && answeredBy !== registered.id;
	}

	#recordFailure({condition, registered}: Upstream, failure: ExchangeFailure): void {
		switch (failure.type) {
			case 'timed-out': {
				this.#options.links.recordFailure(registered);
				condition.recordUnreachable();
				break;
			}

			case 'not-connected':
			case 'cancelled': {
				condition.recordUnreachable();
				break;
			}

			case 'broken':
			case 'malformed': {
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
