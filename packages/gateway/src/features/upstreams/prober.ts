/** Asks upstreams for their load. */
import type {UpstreamId} from '@cairnbank/core';
import type {LoadReport, UpstreamCondition} from '@cairnbank/core/placement';
import {ProbeRateLimiter} from '@cairnbank/core/measurement';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {
	headerOf, loadOf, type ExchangeFailure, type UpstreamAnswer,
} from './exchange.js';
import type {Advisories} from './advisories.js';
import type {Eligibility} from './eligibility.js';
import type {RateLimits} from './rate-limits.js';
import type {UpstreamConnection} from './upstream-connection.js';
import type {Upstream} from './upstream.js';

/** An upstream that has not answered a health check after this time is left alone for a moment. */
const probeTimeoutMs = 200;
const okStatus = 200;

export type ProberOptions = {
	readonly context: Context;
	readonly dialect: RequestDialect;
	readonly advisories: Pick<Advisories, 'received'>;
	readonly eligibility: Pick<Eligibility, 'mayCheck'>;
	readonly rateLimits: Pick<RateLimits, 'checked'>;
	/** Path of a service's health check; nothing for an unknown service. */
	readonly healthPath: (service: string) => string | undefined;
	/** Whether anything may be sent to an upstream. */
	readonly isInService: (upstream: Upstream) => boolean;
	readonly instances: () => number;
	readonly upstreams: () => number;
};

export class Prober {
	readonly #options: ProberOptions;
	readonly #allowance: ProbeRateLimiter;
	/** Health checks under way, by upstream: whoever asks for one meanwhile gets its result. */
	readonly #underWay = new Map<UpstreamId, Promise<LoadReport | undefined>>();

	constructor(options: ProberOptions) {
		this.#options = options;
		this.#allowance = new ProbeRateLimiter(options.context.clock.monotonicMs());
	}

	/**
	 * Sends one health check within the budget and notes what it tells.
	 *
	 * @returns the load report, or nothing where none came
	 */
	async probe(upstream: Upstream): Promise<LoadReport | undefined> {
		const {id, service} = upstream.registered;
		const underWay = this.#underWay.get(id);
		if (underWay !== undefined) {
			return underWay;
		}

		const path = this.#options.healthPath(service);
		if (path === undefined) {
			// Without a check nothing would ever say that it is back.
			upstream.condition.recordReachable();
			return undefined;
		}

		const {isInService, eligibility} = this.#options;
		if (!isInService(upstream) || !eligibility.mayCheck(upstream) || !this.#tryTake()) {
			return undefined;
		}

		const probe = this.#check(upstream, path);
		this.#underWay.set(id, probe);
		try {
			return await probe;
		} finally {
			this.#underWay.delete(id);
		}
	}

	/**
	 * Whether an upstream that broke a connection refuses new ones; no part of the budget, as it comes once a crash. A kept
	 * connection says nothing of that: a crash resets it too, maybe unnoticed so far.
	 */
	async refusesConnections(upstream: Upstream): Promise<boolean> {
		if (!this.#options.isInService(upstream)) {
			return false;
		}

		const path = this.#options.healthPath(upstream.registered.service) ?? '/';
		const result = await this.#ask(upstream, path, upstream.pool.open());
		return result.isErr() && result.error.type === 'not-connected' && !result.error.isTimeout;
	}

	#tryTake(): boolean {
		const {context, instances, upstreams} = this.#options;
		return this.#allowance.tryTake(context.clock.monotonicMs(), {
			probesPerSecond: context.settings.bounds.probesPerSecond, upstreams: upstreams(), instances: instances(),
		});
	}

	async #check(upstream: Upstream, path: string): Promise<LoadReport | undefined> {
		const {logger, metrics} = this.#options.context;
		const {condition, registered} = upstream;
		condition.recordHealthCheckSent();
		const result = await this.#ask(upstream, path, upstream.pool.take());
		if (result.isErr()) {
			metrics.probes.inc({result: result.error.type});
			this.#failed(condition, result.error);
			logger.debug('probe failed', {upstream: registered.id, ...result.error});
			return undefined;
		}

		this.#note(upstream, result.value);
		return condition.report;
	}

	async #ask(upstream: Upstream, path: string, connection: UpstreamConnection): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
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

	#failed(condition: UpstreamCondition, failure: ExchangeFailure): void {
		switch (failure.type) {
			case 'not-connected':
			case 'timed-out':
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

	#note(upstream: Upstream, answer: UpstreamAnswer): void {
		const {condition, registered} = upstream;
		const {
			context: {metrics}, dialect, advisories, rateLimits,
		} = this.#options;
		const answeredBy = headerOf(answer.headers, dialect.upstreamIdHeader);
		if (answeredBy !== undefined && answeredBy !== registered.id) {
			metrics.probes.inc({result: 'other-upstream'});
			condition.recordUnreachable();
			return;
		}

		metrics.probes.inc({result: answer.status === okStatus ? 'ok' : 'unwell'});
		advisories.received(upstream, answer, 'health-check');
		rateLimits.checked(upstream, answer);
		const warmupMs = headerOf(answer.headers, dialect.warmupHeader);
		if (warmupMs !== undefined || answer.status === okStatus) {
			// One that is warm need not say so.
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
