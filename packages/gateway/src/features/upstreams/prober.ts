/** Asks upstreams for their load. */
import type {LoadReport} from '@cairnbank/core/placement';
import {ProbeAllowance} from '@cairnbank/core/measurement';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {headerOf, type ExchangeFailure, type UpstreamAnswer} from './exchange.js';
import type {Upstream} from './upstream.js';

/** An upstream that has not answered a health check after this time is left alone for a moment. */
const probeTimeoutMs = 200;
const okStatus = 200;

export type ProberOptions = {
	readonly context: Context;
	readonly dialect: RequestDialect;
	/** Path of a service's health check; nothing for an unknown service. */
	readonly healthPath: (service: string) => string | undefined;
	readonly instances: () => number;
	readonly upstreams: () => number;
};

export class Prober {
	readonly #options: ProberOptions;
	readonly #allowance: ProbeAllowance;

	constructor(options: ProberOptions) {
		this.#options = options;
		this.#allowance = new ProbeAllowance(options.context.clock.monotonicMs());
	}

	/**
	 * Sends one health check within the budget and notes what it tells.
	 *
	 * @returns the load report, or nothing where none came
	 */
	async probe(upstream: Upstream): Promise<LoadReport | undefined> {
		const {context, healthPath, instances, upstreams} = this.#options;
		const path = healthPath(upstream.registered.service);
		const inputs = {
			probesPerSecond: context.settings.bounds.probesPerSecond, upstreams: upstreams(), instances: instances(),
		};
		if (path === undefined || !this.#allowance.tryTake(context.clock.monotonicMs(), inputs)) {
			return undefined;
		}

		const result = await this.#ask(upstream, path);
		if (result.isErr()) {
			context.metrics.probes.inc({result: result.error.type});
			upstream.condition.unreachable();
			context.logger.debug('probe failed', {upstream: upstream.registered.id, ...result.error});
			return undefined;
		}

		return this.#noted(upstream, result.value);
	}

	/** Whether an upstream that broke a connection refuses new ones; no part of the budget, as it comes once a crash. */
	async refusesConnections(upstream: Upstream): Promise<boolean> {
		const path = this.#options.healthPath(upstream.registered.service) ?? '/';
		const result = await this.#ask(upstream, path);
		return result.isErr() && result.error.type === 'not-connected' && !result.error.isTimeout;
	}

	async #ask(upstream: Upstream, path: string): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		const connection = upstream.pool.take();
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

	#noted(upstream: Upstream, answer: UpstreamAnswer): LoadReport | undefined {
		const {context, dialect} = this.#options;
		const answeredBy = headerOf(answer.headers, dialect.upstreamIdHeader);
		if (answeredBy !== undefined && answeredBy !== upstream.registered.id) {
			context.metrics.probes.inc({result: 'other-upstream'});
			upstream.condition.unreachable();
			return undefined;
		}

		context.metrics.probes.inc({result: answer.status === okStatus ? 'ok' : 'unwell'});
		const header = headerOf(answer.headers, dialect.loadHeader);
		const report = header === undefined ? undefined : dialect.parseLoad(header);
		if (report !== undefined) {
			upstream.condition.reported(report);
		}

		return report;
	}
}
