/** Learns the rate limits that upstreams advertise, from answers and from other instances, and shares them with those. */
import type {UpstreamId} from '@cairnbank/core';
import type {RateAdvertisement} from '@cairnbank/core/limits';
import type {Context} from '../../kernel/context.js';
import type {RequestDialect} from '../../ports/index.js';
import {rateLimitOf} from './exchange.js';
import type {UpstreamAnswer} from './upstream-answer.js';
import type {Upstream} from './upstream.js';

/** The latest rate limit advertisement of one upstream process, as exchanged between instances. */
export type RateReport = {
	readonly upstream: UpstreamId;
	/** Start of the upstream process in Unix milliseconds; 0 if unknown. */
	readonly startedAtMs: number;
	readonly advertisement: RateAdvertisement;
};

export type RateLimitsOptions = {
	readonly context: Pick<Context, 'clock' | 'logger'>;
	readonly dialect: RequestDialect;
	readonly upstreamOf: (id: UpstreamId) => Upstream | undefined;
	/** Sends an advertisement to the other instances. */
	readonly share: (report: RateReport) => void;
};

/** The answer to a request. */
export type AnsweredRequest = {
	readonly answer: UpstreamAnswer;
	readonly sentAtMs: number;
	/** True if the answer is complete and the upstream's own, so that no limit is in force if it advertises none. */
	readonly isSuccess: boolean;
};

export class RateLimits {
	readonly #options: RateLimitsOptions;

	constructor(options: RateLimitsOptions) {
		this.#options = options;
	}

	/** Handles the answer to a request. */
	answered(upstream: Upstream, {answer, sentAtMs, isSuccess}: AnsweredRequest): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#recordObservation(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		} else if (limit !== undefined && isSuccess) {
			// The answer may have been written any time after the request was sent.
			this.#recordObservation(upstream, {limit, atMs: sentAtMs});
		}
	}

	/** Handles the answer to a health check, which need not carry the limit in force. */
	checked(upstream: Upstream, answer: UpstreamAnswer): void {
		const limit = rateLimitOf(answer, this.#options.dialect);
		if (limit?.type === 'limited') {
			this.#recordObservation(upstream, {limit, atMs: this.#options.context.clock.monotonicMs()});
		}
	}

	/** Handles an advertisement that another instance has sent to all instances, so this one need not share it again. */
	receiveReport({upstream: id, startedAtMs, advertisement}: RateReport): void {
		const upstream = this.#options.upstreamOf(id);
		if (upstream?.registered.startedAtMs !== startedAtMs) {
			return;
		}

		this.#learn(upstream, advertisement, 'instance');
		upstream.condition.advertisedRate.markShared();
	}

	#recordObservation(upstream: Upstream, advertisement: RateAdvertisement): void {
		this.#learn(upstream, advertisement, 'answer');
		const {registered: {id, startedAtMs}, condition: {advertisedRate}} = upstream;
		if (advertisedRate.latest === advertisement && advertisedRate.isShareDue) {
			advertisedRate.markShared();
			this.#options.share({upstream: id, startedAtMs, advertisement});
		}
	}

	#learn({registered: {id, service}, condition: {advertisedRate}}: Upstream, advertisement: RateAdvertisement, source: 'answer' | 'instance'): void {
		const change = advertisedRate.update(advertisement);
		if (change !== undefined) {
			this.#options.context.logger.info('upstream rate limit changed', {
				upstream: id, service, requestsPerSecond: change.after ?? 'none', before: change.before ?? 'none', source,
			});
		}
	}
}
