/** Rate limits that upstreams advertise: learns them from answers and from other instances, and tells those. */
import type {UpstreamId} from '@cairnbank/core';
import type {RateAdvertisement} from '@cairnbank/core/limits';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {rateLimitOf, type UpstreamAnswer} from './exchange.js';
import type {Upstream} from './upstream.js';

/** The last statement of one start of an upstream, as instances report it to each other. */
export type RateReport = {
	readonly upstream: UpstreamId;
	/** Unix milliseconds of the upstream's start; 0 where it doesn't tell. */
	readonly startedAtMs: number;
	readonly statement: RateAdvertisement;
};

export type RateLimitsOptions = {
	readonly context: Pick<Context, 'clock' | 'logger'>;
	readonly dialect: RequestDialect;
	readonly upstreamOf: (id: UpstreamId) => Upstream | undefined;
	/** Reports a statement to the other instances. */
	readonly share: (report: RateReport) => void;
};

/** The answer to a request. */
export type AnsweredRequest = {
	readonly answer: UpstreamAnswer;
	readonly sentAtMs: number;
	/** It is whole and the upstream's own, so that a limit that it doesn't advertise is not in force. */
	readonly isSuccess: boolean;
};

export class RateLimits {
	readonly #options: RateLimitsOptions;

	constructor(options: RateLimitsOptions) {
		this.#options = options;
	}

	/** An upstream has answered a request. */
	answered(upstream: Upstream, {answer, sentAtMs, isSuccess}: AnsweredRequest): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#observed(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		} else if (limit !== undefined && isSuccess) {
			// The answer may have been written any time after the request was sent.
			this.#observed(upstream, {limit, atMs: sentAtMs});
		}
	}

	/** An upstream has answered a health check, which need not carry the limit in force. */
	checked(upstream: Upstream, answer: UpstreamAnswer): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#observed(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		}
	}

	/** Another instance reports a statement, to all. */
	reported({upstream: id, startedAtMs, statement}: RateReport): void {
		const upstream = this.#options.upstreamOf(id);
		if (upstream?.registered.startedAtMs !== startedAtMs) {
			return;
		}

		this.#learn(upstream, statement, 'instance');
		upstream.condition.advertisedRate.markShared();
	}

	#observed(upstream: Upstream, statement: RateAdvertisement): void {
		this.#learn(upstream, statement, 'answer');
		const {registered: {id, startedAtMs}, condition: {advertisedRate}} = upstream;
		if (advertisedRate.latest === statement && advertisedRate.isShareDue) {
			advertisedRate.markShared();
			this.#options.share({upstream: id, startedAtMs, statement});
		}
	}

	#learn({registered: {id, service}, condition: {advertisedRate}}: Upstream, statement: RateAdvertisement, source: 'answer' | 'instance'): void {
		const change = advertisedRate.update(statement);
		if (change !== undefined) {
			this.#options.context.logger.info('upstream rate limit changed', {
				upstream: id, service, requestsPerSecond: change.after ?? 'none', before: change.before ?? 'none', source,
			});
		}
	}
}
